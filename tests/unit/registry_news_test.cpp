#include "libraries/discovery/registry_news.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/wire/codec.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

member_view live_member(unsigned number, char const* place)
{
    member_view view;
    view.listed.instance = instance_name("e" + std::to_string(number));
    view.listed.place = place_name(place);
    view.incarnation = incarnation_id(number + 1);
    view.state = wire::member_state::serving;
    view.configuration = configuration_version(1);
    return view;
}

registration_change change_of(unsigned number)
{
    upstream_registration const registration = sample_upstream(number).registration;
    return {.name = registration.name, .registration = registration};
}

} // namespace

TEST_GROUP(registry_news){};

TEST(registry_news, two_entries_of_different_places_read_for_all)
{
    std::vector<member_view> members;
    for (unsigned i = 0; i < 40; ++i)
        members.push_back(live_member(i, i < 30 ? "p" : "q"));
    std::vector<member_view const*> readers;
    for (member_view const& each : members) {
        if (reads_for_others(each.listed.instance, members))
            readers.push_back(&each);
    }
    LONGS_EQUAL(2, readers.size());
    CHECK(readers[0]->listed.place != readers[1]->listed.place);
    // When one of them is lost, another one takes its part.
    for (member_view& each : members) {
        if (each.listed.instance == readers[0]->listed.instance)
            each.state = wire::member_state::lost;
    }
    unsigned count = 0;
    for (member_view const& each : members)
        count += each.is_serving() && reads_for_others(each.listed.instance, members) ? 1 : 0;
    LONGS_EQUAL(2, count);
}

TEST(registry_news, an_entry_that_is_alone_reads_by_itself)
{
    CHECK(reads_for_others(instance_name("e1"), {live_member(1, "p")}));
    CHECK(reads_for_others(instance_name("e1"), {}));
}

TEST(registry_news, changes_come_through_the_wire_as_they_were)
{
    registration_change draining = change_of(1);
    draining.registration->state = upstream_state::draining;
    draining.registration->cold_left = ms(700);
    registration_change const gone{.name = upstream_name("u2"), .registration = {}};
    auto const bytes = wire::encode(make_news(5, 9, {draining, gone, change_of(3)}));
    CHECK(bytes.size() <= wire::largest_datagram_bytes);
    auto const decoded = wire::decode(bytes);
    CHECK(static_cast<bool>(decoded));
    auto const changes = changes_of(std::get<wire::registry_news>(decoded.value()));
    LONGS_EQUAL(3, changes.size());
    CHECK(changes[0].registration == draining.registration);
    CHECK(!changes[1].registration.has_value());
    CHECK(changes[2].registration == change_of(3).registration);
}

TEST(registry_news, more_changes_than_fit_are_told_as_incomplete_and_fit_a_datagram)
{
    std::vector<registration_change> many;
    for (unsigned i = 1; i <= 30; ++i) {
        many.push_back(change_of(i));
        many.back().registration->service = service_name(std::string(40, 's'));
    }
    auto const news = make_news(1, 2, many);
    CHECK(!news.complete);
    CHECK(wire::encode(news).size() <= wire::largest_datagram_bytes);
}

TEST(registry_news, heartbeats_alone_are_no_news)
{
    upstream_registry registry({}, {});
    time_point const now = start_time();
    registry.take_all({change_of(1), change_of(2)}, now);
    auto beat = change_of(1);
    ++beat.registration->heartbeat;
    CHECK(!registry.is_news(beat));
    beat.registration->state = upstream_state::draining;
    CHECK(registry.is_news(beat));
    auto cold = change_of(1);
    cold.registration->cold_left = ms(10);
    CHECK(registry.is_news(cold));
    CHECK(registry.is_news(change_of(3)));
    CHECK(registry.is_news({.name = upstream_name("u1"), .registration = {}}));
    CHECK(!registry.is_news({.name = upstream_name("u9"), .registration = {}}));
}

TEST(registry_news, only_the_last_state_of_an_upstream_is_told)
{
    // The store tells each change in order; a reader that knows the end already would otherwise
    // tell the beginning alone and bring a removed upstream back.
    upstream_registry registry({}, {});
    time_point const now = start_time();
    registry.take_all({change_of(1), change_of(2)}, now);
    registration_change const gone{.name = upstream_name("u1"), .registration = {}};
    auto beat = change_of(1);
    ++beat.registration->heartbeat;
    LONGS_EQUAL(1, worth_telling(registry, {beat, gone}).size());
    CHECK(!worth_telling(registry, {beat, gone})[0].registration.has_value());
    registry.take_changes({gone}, now);
    LONGS_EQUAL(0, worth_telling(registry, {beat, gone}).size());
}
