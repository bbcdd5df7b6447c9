#include "libraries/discovery/evacuations.hpp"
#include "libraries/discovery/store_history.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/membership/entry_list.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/listed_members.hpp"
#include "tests/fakes/positioned_registry.hpp"
#include "tests/fakes/routing_samples.hpp"
#include "tests/fakes/store_positions.hpp"

#include <algorithm>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::int64_t first_start = 1'000;
constexpr std::int64_t second_start = 5'000;
place_name const evacuated_place("p1");
place_name const other_place("p2");

registration_change registered(unsigned number, std::int64_t started_ms, std::int64_t heartbeat = 1)
{
    upstream_registration registration = sample_upstream(number).registration;
    registration.started_ms = started_ms;
    registration.heartbeat = heartbeat;
    return {.name = registration.name, .registration = registration};
}

registration_change unregistered(unsigned number)
{
    return {.name = sample_upstream(number).registration.name, .registration = {}};
}

member_view running_entry(unsigned number)
{
    member_view view;
    view.listed = sample_member(number);
    view.incarnation = incarnation_id(number + 1);
    view.state = wire::member_state::serving;
    return view;
}

bool has_place(evacuations const& set, place_name const& place)
{
    return set.places().contains(place);
}

} // namespace

TEST_GROUP(store_restored)
{
    static constexpr std::int64_t grace_ms = 2'200;

    time_point now = start_time();
    positioned_registry registry{{}, {{place_name("p"), region_name("r")}}};

    upstream_registration const& known(unsigned number) const
    {
        return registry.upstreams().at(sample_upstream(number).registration.name).registration;
    }

    bool is_usable(unsigned number) const
    {
        auto const found = registry.upstreams().find(sample_upstream(number).registration.name);
        return found != registry.upstreams().end() && found->second.is_usable();
    }

    void read_registry(std::vector<registration_change> const& content, std::uint64_t era)
    {
        registry.apply_snapshot(content, now, store_era(era));
    }

    void advance_time(std::int64_t count_ms)
    {
        now += ms(count_ms);
        registry.expire(now);
    }
};

TEST(store_restored, positions_are_ordered_by_era_before_version)
{
    CHECK(at_version(61, 1) < at_version(40, 2));
    CHECK(at_version(40, 2) < at_version(41, 2));
    CHECK(at_version(61, 1) != at_version(61, 2));
}

TEST(store_restored, changes_of_another_history_are_not_applied)
{
    auto const use = [](store_position known_position, std::uint64_t newest_era,
                        store_position answered, answer_scope scope) {
        return use_of_answer(known_position, store_era(newest_era), answered, scope);
    };
    CHECK(use(at_version(61, 1), 1, at_version(70, 1), answer_scope::changes) == answer_use::apply);
    CHECK(use(at_version(61, 1), 2, at_version(70, 2), answer_scope::changes) ==
          answer_use::read_whole_table);
    CHECK(use(at_version(61, 1), 2, at_version(40, 2), answer_scope::whole_table) ==
          answer_use::apply);
    CHECK(use({}, 0, at_version(40, 2), answer_scope::whole_table) == answer_use::apply);
}

TEST(store_restored, late_answers_of_the_old_history_are_ignored)
{
    for (answer_scope const scope : {answer_scope::changes, answer_scope::whole_table}) {
        // A reader that has read the new history, and one that has only heard of it from a peer.
        CHECK(use_of_answer(at_version(40, 2), store_era(2), at_version(61, 1), scope) ==
              answer_use::repeat_call);
        CHECK(use_of_answer(at_version(61, 1), store_era(2), at_version(61, 1), scope) ==
              answer_use::repeat_call);
        CHECK(use_of_answer(at_version(40, 2), store_era(2), at_version(41, 0), scope) ==
              answer_use::repeat_call);
    }
}

TEST(store_restored, evacuation_that_the_copy_lacks_stays_until_it_is_written_again)
{
    evacuations set;
    set.apply_all({}, store_era(1), now);
    set.apply_changes({evacuated_place}, {});
    set.apply_all({}, store_era(2), now);
    CHECK(has_place(set, evacuated_place));
    set.apply_all({}, store_era(2), now + ms(100));
    CHECK(has_place(set, evacuated_place));
    set.apply_changes({evacuated_place}, {});
    set.expire(now + evacuations::rewrite_grace);
    CHECK(has_place(set, evacuated_place));
    set.apply_changes({}, {evacuated_place});
    CHECK(set.places().empty());
}

TEST(store_restored, evacuation_that_is_not_written_again_ends)
{
    evacuations set;
    set.apply_all({evacuated_place}, store_era(1), now);
    set.apply_all({}, store_era(2), now);
    set.apply_all({}, store_era(2), now + ms(100));
    set.expire(now + evacuations::rewrite_grace - ms(1));
    CHECK(has_place(set, evacuated_place));
    set.expire(now + evacuations::rewrite_grace);
    CHECK(set.places().empty());
    CHECK(!set.has_unconfirmed());
}

TEST(store_restored, evacuation_stays_for_the_whole_grace_after_a_second_restoration)
{
    evacuations set;
    set.apply_all({evacuated_place}, store_era(1), now);
    set.apply_all({}, store_era(2), now);
    time_point const second_return = now + evacuations::rewrite_grace - ms(1);
    set.apply_all({}, store_era(3), second_return);
    set.expire(second_return + evacuations::rewrite_grace - ms(1));
    CHECK(has_place(set, evacuated_place));
    set.expire(second_return + evacuations::rewrite_grace);
    CHECK(set.places().empty());
}

TEST(store_restored, grace_of_an_evacuation_counts_only_while_the_store_answers)
{
    evacuations set;
    set.apply_all({evacuated_place}, store_era(1), now);
    set.apply_all({}, store_era(2), now);
    time_point const still_away = now + evacuations::rewrite_grace * 2;
    set.restart_grace(still_away);
    set.expire(still_away + evacuations::rewrite_grace - ms(1));
    CHECK(has_place(set, evacuated_place));
    set.expire(still_away + evacuations::rewrite_grace);
    CHECK(set.places().empty());
}

TEST(store_restored, evacuation_in_the_copy_and_a_lift_in_the_new_history_count_at_once)
{
    evacuations set;
    set.apply_all({evacuated_place}, store_era(1), now);
    set.apply_all({other_place}, store_era(2), now);
    CHECK(has_place(set, other_place));
    set.apply_changes({}, {evacuated_place, other_place});
    CHECK(set.places().empty());
}

TEST(store_restored, evacuation_missing_in_the_same_history_ends_at_once)
{
    evacuations set;
    set.apply_all({evacuated_place}, store_era(1), now);
    set.apply_all({}, store_era(1), now);
    CHECK(set.places().empty());
}

TEST(store_restored, upstream_that_the_copy_lacks_is_kept_for_the_grace_only)
{
    read_registry(
        {registered(1, first_start), registered(2, first_start), registered(3, first_start)}, 1);
    read_registry({registered(1, first_start), registered(2, first_start)}, 2);
    CHECK(is_usable(3));
    advance_time(grace_ms - 100);
    read_registry({registered(1, first_start), registered(2, first_start)}, 2);
    CHECK(is_usable(3));
    advance_time(200);
    CHECK(!is_usable(3));
    registry.apply_changes({registered(3, first_start, 2)}, now);
    CHECK(is_usable(3));
}

TEST(store_restored, removal_in_the_new_history_counts_at_once)
{
    read_registry(
        {registered(1, first_start), registered(2, first_start), registered(3, first_start)}, 1);
    read_registry({registered(1, first_start), registered(2, first_start)}, 2);
    registry.apply_changes({unregistered(3)}, now);
    CHECK(!is_usable(3));
}

TEST(store_restored, removed_upstream_does_not_return_with_the_copy)
{
    read_registry({registered(1, first_start, 3), registered(2, first_start)}, 1);
    registry.apply_changes({unregistered(1)}, now);
    CHECK(!is_usable(1));
    read_registry({registered(1, first_start, 3), registered(2, first_start)}, 2);
    CHECK(!is_usable(1));
    read_registry({registered(1, first_start, 2), registered(2, first_start)}, 3);
    CHECK(!is_usable(1));
    registry.apply_changes({registered(1, first_start, 4)}, now);
    CHECK(is_usable(1));
}

TEST(store_restored, removed_upstream_returns_in_the_same_history)
{
    read_registry({registered(1, first_start, 3), registered(2, first_start)}, 1);
    registry.apply_changes({unregistered(1)}, now);
    read_registry({registered(1, first_start, 3), registered(2, first_start)}, 1);
    CHECK(is_usable(1));
}

TEST(store_restored, former_incarnation_does_not_replace_the_present_one)
{
    read_registry({registered(1, first_start, 9), registered(2, first_start)}, 1);
    registry.apply_changes({registered(1, second_start, 1)}, now);
    read_registry({registered(1, first_start, 9), registered(2, first_start)}, 2);
    CHECK(is_usable(1));
    CHECK(known(1).started_ms == second_start);
    registry.apply_changes({registered(1, second_start, 2)}, now);
    advance_time(grace_ms + 100);
    CHECK(is_usable(1));
    CHECK(known(1).started_ms == second_start);
}

TEST(store_restored, draining_upstream_stays_draining_when_its_row_goes_back)
{
    read_registry({registered(1, first_start, 1), registered(2, first_start)}, 1);
    registration_change draining = registered(1, first_start, 2);
    draining.registration->state = upstream_state::draining;
    registry.apply_changes({draining}, now);
    read_registry({registered(1, first_start, 1), registered(2, first_start)}, 2);
    CHECK(!is_usable(1));
    CHECK(is_usable(2));
}

TEST(store_restored, restarted_entry_takes_the_copy_as_it_is)
{
    read_registry({registered(1, first_start, 1)}, 2);
    CHECK(is_usable(1));
}

TEST(store_restored, running_entries_stay_listed_with_their_present_record)
{
    std::vector<member_view> known_entries{running_entry(0), running_entry(1), running_entry(2)};
    known_entries[2].state = wire::member_state::lost;
    listed_member former = sample_member(0);
    former.peers.port = 99;
    auto const merged = merge_entry_records(known_entries, {former, sample_member(3)},
                                            entry_list_kind::restored_list);
    CHECK(merged ==
          std::vector<listed_member>({sample_member(0), sample_member(1), sample_member(3)}));
}

TEST(store_restored, whole_list_and_changes_are_merged_as_the_store_has_them)
{
    std::vector<member_view> const known_entries{running_entry(0), running_entry(1)};
    CHECK(merge_entry_records(known_entries, {sample_member(1)}, entry_list_kind::whole_list) ==
          std::vector<listed_member>({sample_member(1)}));
    listed_member removed = sample_member(0);
    removed.leaving = true;
    CHECK(
        merge_entry_records(known_entries, {removed, sample_member(2)}, entry_list_kind::changes) ==
        std::vector<listed_member>({sample_member(1), sample_member(2)}));
}
