#include "libraries/configuration_sync/configuration_follower.hpp"

#include "tests/fakes/documents.hpp"
#include "tests/fakes/harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// A valid document whose bytes, and so its digest, are different for each number.
std::string numbered_document(unsigned number)
{
    return sample_deployment() + "# " + std::to_string(number) + "\n";
}

wire::configuration_head numbered_head(unsigned version)
{
    return {.version = version, .document = digest_of(numbered_document(version))};
}

bool first_command_adopts(std::vector<follower_command> const& commands)
{
    return !commands.empty() && std::holds_alternative<adopt_command>(commands.front());
}

} // namespace

TEST_GROUP(configuration_follower)
{
    time_point now = start_time();
    configuration_follower follower;
    address const peer{.ip = 1, .port = 2};

    void adopt_from_store(unsigned version)
    {
        follower.handle_store_head(numbered_head(version), now);
        CHECK(first_command_adopts(
            follower.handle_document(numbered_head(version), numbered_document(version), now)));
    }
};

TEST(configuration_follower, document_from_the_store_is_adopted)
{
    auto const commands = follower.handle_store_head(numbered_head(1), now);
    CHECK(std::holds_alternative<fetch_object_command>(commands.front()));
    CHECK(first_command_adopts(
        follower.handle_document(numbered_head(1), numbered_document(1), now)));
    LONGS_EQUAL(1, follower.in_force()->version.get());
}

TEST(configuration_follower, document_is_requested_from_the_peer_that_announced_it)
{
    auto const commands = follower.handle_peer_head(numbered_head(1), peer, now);
    CHECK(std::holds_alternative<ask_peer_command>(commands.front()));
}

TEST(configuration_follower, older_head_from_the_store_is_ignored)
{
    adopt_from_store(2);
    CHECK(follower.handle_store_head(numbered_head(1), now).empty());
    CHECK(follower.handle_document(numbered_head(1), numbered_document(1), now).empty());
    LONGS_EQUAL(2, follower.in_force()->version.get());
}

TEST(configuration_follower, late_document_of_an_older_head_is_ignored)
{
    follower.handle_store_head(numbered_head(1), now);
    follower.handle_store_head(numbered_head(2), now);
    CHECK(follower.handle_document(numbered_head(1), numbered_document(1), now).empty());
    CHECK(first_command_adopts(
        follower.handle_document(numbered_head(2), numbered_document(2), now)));
}

TEST(configuration_follower, document_that_does_not_match_its_digest_is_dropped)
{
    follower.handle_store_head(numbered_head(1), now);
    CHECK(follower.handle_document(numbered_head(1), numbered_document(2), now).empty());
    LONGS_EQUAL(1, follower.dropped_documents());
    CHECK(follower.in_force() == nullptr);
}

TEST(configuration_follower, document_fetch_is_retried_until_the_object_appears)
{
    follower.handle_store_head(numbered_head(1), now);
    CHECK(follower.tick(now).empty());
    now += configuration_follower::retry_interval;
    CHECK(std::holds_alternative<fetch_object_command>(follower.tick(now).front()));
    CHECK(first_command_adopts(
        follower.handle_document(numbered_head(1), numbered_document(1), now)));
    now += configuration_follower::retry_interval;
    CHECK(follower.tick(now).empty());
}

TEST(configuration_follower, fetches_alternate_between_peers_and_store)
{
    follower.handle_peer_head(numbered_head(1), peer, now);
    now += configuration_follower::retry_interval;
    CHECK(std::holds_alternative<fetch_object_command>(follower.tick(now).front()));
    now += configuration_follower::retry_interval;
    CHECK(std::holds_alternative<ask_peer_command>(follower.tick(now).front()));
}

TEST(configuration_follower, newer_head_from_a_peer_replaces_the_stored_head_after_a_restart)
{
    configuration_follower starting_follower(now +
                                             configuration_follower::adoption_delay_after_start);
    CHECK(starting_follower.handle_store_head(numbered_head(1), now).empty());
    CHECK(starting_follower.handle_document(numbered_head(1), numbered_document(1), now).empty());
    now += ms(400);
    CHECK(starting_follower.handle_peer_head(numbered_head(2), peer, now).empty());
    CHECK(starting_follower.tick(now).empty());
    now += configuration_follower::adoption_delay_after_start;
    CHECK(std::holds_alternative<ask_peer_command>(starting_follower.tick(now).front()));
    CHECK(first_command_adopts(
        starting_follower.handle_document(numbered_head(2), numbered_document(2), now)));
}
