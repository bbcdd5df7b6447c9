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
    auto const bytes = wire::encode(make_news(5, 9, {draining, gone, change_of(3)}).front());
    CHECK(bytes.size() <= wire::largest_datagram_bytes);
    auto const decoded = wire::decode(bytes);
    CHECK(static_cast<bool>(decoded));
    news_assembler assembler;
    auto const whole = assembler.take(std::get<wire::registry_news>(decoded.value()));
    CHECK(whole.has_value());
    auto const& changes = whole->changes;
    LONGS_EQUAL(3, changes.size());
    CHECK(changes[0].registration == draining.registration);
    CHECK(!changes[1].registration.has_value());
    CHECK(changes[2].registration == change_of(3).registration);
}

TEST(registry_news, many_changes_are_told_in_pieces_that_fit_a_datagram)
{
    std::vector<registration_change> many;
    for (unsigned i = 1; i <= 30; ++i) {
        many.push_back(change_of(i));
        many.back().registration->service = service_name(std::string(40, 's'));
    }
    auto const pieces = make_news(1, 2, many);
    CHECK(pieces.size() > 1);
    // Mixed with the pieces of another reader, in any order, one of them twice.
    auto const others = make_news(0, 2, many);
    news_assembler assembler;
    std::optional<told_changes> whole;
    for (std::size_t i = pieces.size(); i-- > 0;) {
        CHECK(wire::encode(pieces[i]).size() <= wire::largest_datagram_bytes);
        CHECK(!whole.has_value());
        if (i > 0)
            CHECK(!assembler.take(others[i]).has_value());
        whole = assembler.take(pieces[i]);
        if (i + 1 == pieces.size())
            CHECK(!assembler.take(pieces[i]).has_value());
    }
    CHECK(whole.has_value());
    CHECK(whole->complete);
    LONGS_EQUAL(1, whole->after.get());
    LONGS_EQUAL(2, whole->version.get());
    LONGS_EQUAL(many.size(), whole->changes.size());
    for (std::size_t i = 0; i < many.size(); ++i)
        CHECK(whole->changes[i].registration == many[i].registration);
}

TEST(registry_news, more_changes_than_pieces_hold_are_told_as_incomplete)
{
    std::vector<registration_change> many;
    for (unsigned i = 1; i <= 200; ++i)
        many.push_back(change_of(i));
    auto const pieces = make_news(1, 2, many);
    LONGS_EQUAL(1, pieces.size());
    CHECK(!pieces.front().complete);
    CHECK(wire::encode(pieces.front()).size() <= wire::largest_datagram_bytes);
}

TEST(registry_news, a_whole_read_is_told_as_what_differs)
{
    upstream_registry registry({}, {});
    registry.take_all({change_of(1), change_of(2), change_of(3)}, start_time());
    registration_change draining = change_of(2);
    draining.registration->state = upstream_state::draining;
    auto const changes = differences(registry, {change_of(1), draining, change_of(4)});
    LONGS_EQUAL(3, changes.size());
    CHECK(changes[0].registration == draining.registration);
    CHECK(changes[1].registration == change_of(4).registration);
    CHECK(changes[2].name == change_of(3).name);
    CHECK(!changes[2].registration.has_value());
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
