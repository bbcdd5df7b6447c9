#include "platform/platform_store.hpp"
#include "platform/standin/row_store_standin.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/raw_sockets.hpp"
#include "tests/fakes/store_positions.hpp"

#include <memory>
#include <optional>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

using directives_answer = discovery_store_answer<operator_directives>;

} // namespace

TEST_GROUP(platform_store)
{
    event_loop loop;
    system_clock_source clock;
    row_store_standin standin{loop, clock};
    std::unique_ptr<platform::platform_store> store;
    address store_address;

    void setup() override
    {
        auto const listening = standin.try_listen({.ip = 0x7f000001, .port = 0});
        CHECK(static_cast<bool>(listening));
        store_address = listening.value();
        store = std::make_unique<platform::platform_store>(
            loop, clock, platform::platform_store_options{.at = store_address});
    }

    void teardown() override
    {
        store.reset();
        // The stand-in closes its side of the connections.
        timer time_limit(loop);
        time_limit.start_once(ms(20), [&] { loop.stop(); });
        loop.run();
    }

    template <class Answer, class Call>
    Answer wait_for(Call const& call)
    {
        std::optional<Answer> received;
        call([&](Answer const& answer) {
            received = answer;
            loop.stop();
        });
        timer time_limit(loop);
        time_limit.start_once(std::chrono::seconds(5), [&] { loop.stop(); });
        loop.run();
        CHECK_TEXT(received.has_value(), "no answer within 5 s");
        return *received;
    }

    directives_answer read_directives()
    {
        return wait_for<directives_answer>(
            [&](auto const& handler) { store->read_directives(handler); });
    }

    directives_answer read_directive_changes(store_position after)
    {
        return wait_for<directives_answer>([&](auto const& handler) {
            store->await_directive_changes(after, duration::zero(), handler);
        });
    }

    discovery_store_write write_own_record()
    {
        return wait_for<discovery_store_write>(
            [&](auto const& handler) { store->write_entry({}, handler); });
    }

    void restore_to_empty_store()
    {
        for (unsigned i = 0; i < 5; ++i)
            standin.write("op", "evacuate/p1", "{}");
        standin.restore_copy();
    }
};

TEST(platform_store, answers_state_the_era_and_version)
{
    standin.write("op", "evacuate/p1", "{}");
    directives_answer const before = read_directives();
    CHECK(before.position == at_version(2, 1));
    CHECK(before.content.last_change == at_version(2, 1));
    restore_to_empty_store();
    directives_answer const after = read_directives();
    CHECK(after.position == at_version(1, 2));
    CHECK(after.content.evacuated.empty());
    CHECK(write_own_record().era == store_era(2));
}

TEST(platform_store, a_document_that_cannot_be_read_is_told_from_an_absent_one)
{
    CHECK(!read_directives().content.routing_is_unreadable);
    standin.write("op", "config", "{\"version\":");
    directives_answer const answer = read_directives();
    CHECK(answer.content.routing == nullptr);
    CHECK(answer.content.routing_is_unreadable);
    standin.write("op", "config", R"({"version":"r3","listeners":[],"clusters":[]})");
    CHECK(!read_directives().content.routing_is_unreadable);
}

TEST(platform_store, version_that_the_restored_store_lacks_is_truncated_history_of_a_new_era)
{
    standin.write("op", "evacuate/p1", "{}");
    store_position const known = read_directives().position;
    standin.restore_copy();
    directives_answer const changes = read_directive_changes(known);
    CHECK(changes.status == discovery_store_status::history_truncated);
    CHECK(changes.position.era == store_era(2));
}

TEST(platform_store, version_given_out_again_is_told_apart_by_its_era)
{
    standin.write("op", "evacuate/p1", "{}");
    store_position const known = read_directives().position;
    standin.restore_copy();
    standin.write("op", "evacuate/p2", "{}");
    directives_answer const changes = read_directive_changes(known);
    CHECK(changes.status == discovery_store_status::done);
    CHECK(changes.position.version == known.version);
    CHECK(known < changes.position);
}

TEST(platform_store, refusals_state_the_era)
{
    standin.restore_copy();
    standin.set_faults({.rejects_calls = true});
    directives_answer const refused = read_directives();
    CHECK(refused.status == discovery_store_status::rejected);
    CHECK(refused.position.era == store_era(2));
    discovery_store_write const refused_write = write_own_record();
    CHECK(refused_write.status == discovery_store_status::rejected);
    CHECK(refused_write.era == store_era(2));
}

TEST(platform_store, missing_or_unreadable_era_counts_as_none)
{
    for (std::string const& header :
         {std::string(), std::string("Store-Era: x\r\n"), std::string("Store-Era: 3y\r\n"),
          std::string("Store-Era: -1\r\n"), std::string("Store-Era: 99999999999999999999\r\n")}) {
        raw_server const server({{"HTTP/1.1 503 Busy\r\n" + header + "Content-Length: 0\r\n\r\n"}},
                                raw_server_end::close);
        platform::platform_store client(loop, clock, {.at = server.at()});
        directives_answer const answer = wait_for<directives_answer>(
            [&](auto const& handler) { client.read_directives(handler); });
        CHECK(answer.status == discovery_store_status::rejected);
        CHECK(answer.position == store_position{});
    }
}

// Guards against pages without end, which a gateway kept until it had no memory left.
TEST(platform_store, table_that_is_larger_than_the_limit_is_not_read)
{
    std::string const value(100'000, 'v');
    for (unsigned i = 0; i < 30; ++i)
        standin.write("op", "evacuate/p" + std::to_string(i), value);
    CHECK(read_directives().status == discovery_store_status::done);
    store = std::make_unique<platform::platform_store>(
        loop, clock,
        platform::platform_store_options{.at = store_address, .max_table_bytes = 1'000'000});
    CHECK(read_directives().status == discovery_store_status::no_answer);
}

TEST(platform_store, largest_page_that_the_store_gives_is_read)
{
    // A megabyte of values in base64 beside the longest keys.
    constexpr unsigned rows = 500;
    std::string const value(2'000, 'v');
    std::string const key_end(180, 'k');
    for (unsigned i = 0; i < rows; ++i)
        standin.write("op", fmt::format("evacuate/{:03}{}", i, key_end), value);
    directives_answer const received = read_directives();
    CHECK(received.status == discovery_store_status::done);
    LONGS_EQUAL(rows, received.content.evacuated.size());
}
