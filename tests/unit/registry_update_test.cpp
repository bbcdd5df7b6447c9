#include "libraries/discovery/registry_update.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/wire/codec.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/positioned_registry.hpp"
#include "tests/fakes/routing_samples.hpp"
#include "tests/fakes/store_positions.hpp"

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

registration_change change_for_upstream(unsigned number)
{
    upstream_registration const registration = sample_upstream(number).registration;
    return {.name = registration.name, .registration = registration, .at = {}};
}

upstream_record record_of_upstream(unsigned number)
{
    return {.registration = sample_upstream(number).registration,
            .written_at = at_version(number),
            .removed_at = {}};
}

} // namespace

TEST_GROUP(registry_update_message){};

TEST(registry_update_message, two_entries_in_different_places_read_the_registry)
{
    std::vector<member_view> members;
    for (unsigned i = 0; i < 40; ++i)
        members.push_back(live_member(i, i < 30 ? "p" : "q"));
    std::vector<member_view const*> readers;
    for (member_view const& each : members) {
        if (is_registry_reader(each.listed.instance, members))
            readers.push_back(&each);
    }
    LONGS_EQUAL(2, readers.size());
    CHECK(readers[0]->listed.place != readers[1]->listed.place);
    // When one of the readers is lost, another entry replaces it.
    for (member_view& each : members) {
        if (each.listed.instance == readers[0]->listed.instance)
            each.state = wire::member_state::lost;
    }
    unsigned count = 0;
    for (member_view const& each : members)
        count += each.is_serving() && is_registry_reader(each.listed.instance, members) ? 1 : 0;
    LONGS_EQUAL(2, count);
}

TEST(registry_update_message, two_readers_are_chosen_before_any_configuration_is_known)
{
    std::vector<member_view> members;
    for (unsigned i = 0; i < 30; ++i) {
        members.push_back(live_member(i, i % 2 == 0 ? "p" : "q"));
        members.back().configuration = configuration_version();
    }
    unsigned count = 0;
    for (member_view const& each : members)
        count += is_registry_reader(each.listed.instance, members) ? 1 : 0;
    LONGS_EQUAL(2, count);
}

TEST(registry_update_message, entry_without_peers_reads_the_registry)
{
    CHECK(is_registry_reader(instance_name("e1"), {live_member(1, "p")}));
    CHECK(is_registry_reader(instance_name("e1"), {}));
}

TEST(registry_update_message, records_survive_encoding_and_decoding)
{
    upstream_record draining = record_of_upstream(1);
    draining.registration.state = upstream_state::draining;
    draining.registration.cold_left = ms(700);
    draining.registration.heartbeat = 8;
    draining.registration.started_ms = 77;
    draining.start_revision = 2;
    upstream_record removed{.removed_at = at_version(9, 3)};
    removed.registration.name = upstream_name("u2");
    removed.registration.heartbeat = 5;
    removed.written_at = at_version(8, 3);
    auto const bytes =
        wire::encode(make_registry_update_pieces(at_version(5), at_version(9),
                                                 {draining, removed, record_of_upstream(3)})
                         .front());
    CHECK(bytes.size() <= wire::max_datagram_bytes);
    auto const decoded = wire::decode(bytes);
    CHECK(static_cast<bool>(decoded));
    registry_update_assembler assembler;
    auto const assembled =
        assembler.add_piece(std::get<wire::registry_update_message>(decoded.value()));
    CHECK(assembled.has_value());
    auto const& records = assembled->records;
    LONGS_EQUAL(3, records.size());
    CHECK(records[0] == draining);
    CHECK(records[1] == removed);
    CHECK(!records[1].is_registered());
    CHECK(records[2] == record_of_upstream(3));
}

TEST(registry_update_message, large_update_is_split_into_pieces_that_fit_in_a_datagram)
{
    std::vector<upstream_record> many_records;
    for (unsigned i = 1; i <= 30; ++i) {
        many_records.push_back(record_of_upstream(i));
        many_records.back().registration.service = service_name(std::string(40, 's'));
    }
    auto const pieces = make_registry_update_pieces(at_version(1), at_version(2), many_records);
    CHECK(pieces.size() > 1);
    // The pieces arrive in reverse order, interleaved with those of another reader, and one of them
    // arrives twice.
    auto const pieces_of_other_reader =
        make_registry_update_pieces(at_version(0), at_version(2), many_records);
    registry_update_assembler assembler;
    std::optional<assembled_registry_update> assembled;
    for (std::size_t i = pieces.size(); i-- > 0;) {
        CHECK(wire::encode(pieces[i]).size() <= wire::max_datagram_bytes);
        CHECK(!assembled.has_value());
        if (i > 0)
            CHECK(!assembler.add_piece(pieces_of_other_reader[i]).has_value());
        assembled = assembler.add_piece(pieces[i]);
        if (i + 1 == pieces.size())
            CHECK(!assembler.add_piece(pieces[i]).has_value());
    }
    CHECK(assembled.has_value());
    CHECK(assembled->complete);
    CHECK(assembled->after == at_version(1));
    CHECK(assembled->up_to == at_version(2));
    LONGS_EQUAL(many_records.size(), assembled->records.size());
    for (std::size_t i = 0; i < many_records.size(); ++i)
        CHECK(assembled->records[i] == many_records[i]);
}

TEST(registry_update_message, update_with_too_many_records_is_marked_incomplete)
{
    std::vector<upstream_record> many_records;
    for (unsigned i = 1; i <= 200; ++i)
        many_records.push_back(record_of_upstream(i));
    auto const pieces = make_registry_update_pieces(at_version(1), at_version(2), many_records);
    LONGS_EQUAL(1, pieces.size());
    CHECK(!pieces.front().complete);
    CHECK(wire::encode(pieces.front()).size() <= wire::max_datagram_bytes);
}

TEST(registry_update_message, snapshot_is_reduced_to_its_differences)
{
    positioned_registry registry({}, {});
    registry.apply_snapshot(
        {change_for_upstream(1), change_for_upstream(2), change_for_upstream(3)}, start_time());
    registration_change draining = change_for_upstream(2);
    draining.registration->state = upstream_state::draining;
    auto const changes = snapshot_differences(
        registry, {change_for_upstream(1), draining, change_for_upstream(4)}, start_time());
    LONGS_EQUAL(3, changes.size());
    CHECK(changes[0].registration == draining.registration);
    CHECK(changes[1].registration == change_for_upstream(4).registration);
    CHECK(changes[2].name == change_for_upstream(3).name);
    CHECK(!changes[2].registration.has_value());
}

TEST(registry_update_message, heartbeat_alone_is_not_a_significant_change)
{
    positioned_registry registry({}, {});
    time_point const now = start_time();
    registry.apply_snapshot({change_for_upstream(1), change_for_upstream(2)}, now);
    auto heartbeat_change = change_for_upstream(1);
    ++heartbeat_change.registration->heartbeat;
    CHECK(!registry.is_significant_change(heartbeat_change, now));
    heartbeat_change.registration->state = upstream_state::draining;
    CHECK(registry.is_significant_change(heartbeat_change, now));
    auto cold_change = change_for_upstream(1);
    cold_change.registration->cold_left = ms(10);
    CHECK(registry.is_significant_change(cold_change, now));
    CHECK(registry.is_significant_change(change_for_upstream(3), now));
    CHECK(registry.is_significant_change({.name = upstream_name("u1"), .registration = {}}, now));
    CHECK(!registry.is_significant_change({.name = upstream_name("u9"), .registration = {}}, now));
}

TEST(registry_update_message, only_the_latest_state_of_an_upstream_is_announced)
{
    // The store returns every change in order. A reader that already has the latest state would
    // otherwise announce only the earlier one, which would restore a removed upstream.
    positioned_registry registry({}, {});
    time_point const now = start_time();
    registry.apply_snapshot({change_for_upstream(1), change_for_upstream(2)}, now);
    registration_change const removal{.name = upstream_name("u1"), .registration = {}};
    auto heartbeat_change = change_for_upstream(1);
    ++heartbeat_change.registration->heartbeat;
    LONGS_EQUAL(1, significant_changes(registry, {heartbeat_change, removal}, now).size());
    CHECK(!significant_changes(registry, {heartbeat_change, removal}, now)[0]
               .registration.has_value());
    registry.apply_changes({removal}, now);
    LONGS_EQUAL(0, significant_changes(registry, {heartbeat_change, removal}, now).size());
}
