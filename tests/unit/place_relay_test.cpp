#include "libraries/dispatch/place_relay.hpp"
#include "libraries/dispatch/place_slot_sums.hpp"

#include "tests/fakes/harness.hpp"

#include <map>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

using counts = place_slot_sums::counts;

time_point at_ms(std::int64_t ms)
{
    return time_point(std::chrono::milliseconds(ms));
}

member_view entry(char const* name, char const* place, char const* region,
                  std::uint32_t core_thousandths = 0)
{
    member_view member;
    member.listed.instance = instance_name(name);
    member.listed.place = place_name(place);
    member.listed.region = region_name(region);
    member.listed.capacity.core_thousandths = core_thousandths;
    member.incarnation = incarnation_id(1);
    member.state = wire::member_state::serving;
    member.configuration = configuration_version(1);
    return member;
}

wire::slot_report report_of(char const* name, std::uint64_t incarnation, std::uint64_t number,
                            bool is_full, counts const& told)
{
    return {.instance = wire::name_text(name),
            .incarnation = incarnation,
            .number = number,
            .is_full_report = is_full,
            .counts = decltype(wire::slot_report::counts)(told)};
}

wire::place_slot_report sums_of(char const* place, std::uint64_t incarnation, bool is_full)
{
    return {.place = wire::name_text(place),
            .sums = report_of("relay", incarnation, 1, is_full, {})};
}

std::map<std::uint32_t, unsigned> by_upstream(counts const& told)
{
    std::map<std::uint32_t, unsigned> found;
    for (wire::upstream_request_count const& each : told)
        found[each.upstream] = each.under_way;
    return found;
}

using by_upstream_map = std::map<std::uint32_t, unsigned>;

} // namespace

TEST_GROUP(place_relay)
{
    std::vector<member_view> members;

    /// Two places of one region, and another region, with this many entries each.
    void add_places(int entries)
    {
        for (int i = 0; i < entries; ++i) {
            members.push_back(entry(("a" + std::to_string(i)).c_str(), "pa", "r1"));
            members.push_back(entry(("b" + std::to_string(i)).c_str(), "pb", "r1"));
            members.push_back(entry(("c" + std::to_string(i)).c_str(), "pc", "r2"));
        }
    }
    place_relay_plan plan_of(member_view const& member) const
    {
        return plan_place_relay(member.listed.instance, member.listed.place, member.listed.region,
                                members);
    }
    std::vector<std::string> relays_of(char const* place) const
    {
        std::vector<std::string> found;
        for (member_view const& each : members) {
            if (each.listed.place.get() == place && plan_of(each).is_relay)
                found.push_back(each.listed.instance.get());
        }
        return found;
    }
};

TEST(place_relay, a_small_region_uses_none)
{
    add_places(7);
    for (member_view const& each : members)
        CHECK_FALSE(plan_of(each).uses_relays || plan_of(each).is_relay);
}

TEST(place_relay, all_entries_of_a_large_region_agree_on_one_per_place)
{
    add_places(16);
    for (char const* place : {"pa", "pb", "pc"})
        LONGS_EQUAL(1, relays_of(place).size());
    LONGS_EQUAL(15, plan_of(members.front()).place_entries.size());
    CHECK_FALSE(plan_of(members.front()).place_entries.contains(instance_name("b1")));
}

TEST(place_relay, the_entry_with_the_largest_share_of_a_core_is_preferred)
{
    add_places(10);
    members[9].listed.capacity.core_thousandths = 500;
    members[3].listed.capacity.core_thousandths = 100;
    CHECK(relays_of("pa") == std::vector<std::string>{members[9].listed.instance.get()});
}

TEST(place_relay, lost_stopping_and_leaving_relays_are_replaced)
{
    add_places(12);
    std::string const first = relays_of("pa").front();
    for (member_view& each : members) {
        if (each.listed.instance.get() != first)
            continue;
        member_view const before = each;
        each.state = wire::member_state::stopping;
        LONGS_EQUAL(1, relays_of("pa").size());
        CHECK(relays_of("pa").front() != first);
        each = before;
        each.listed.leaving = true;
        CHECK(relays_of("pa").front() != first);
        each = before;
        each.state = wire::member_state::lost;
        CHECK(relays_of("pa").front() != first);
    }
}

TEST(place_relay, entries_report_themselves_where_no_entry_of_the_place_runs)
{
    add_places(16);
    for (member_view& each : members) {
        if (each.listed.place.get() == "pa")
            each.state = wire::member_state::stopping;
    }
    CHECK_FALSE(plan_of(members[0]).uses_relays);
    CHECK(plan_of(members[1]).uses_relays);
}

TEST_GROUP(place_report_filter)
{
    place_report_filter filter;
    void setup() override
    {
        filter.update_members({entry("a1", "pa", "r1"), entry("b1", "pb", "r1")}, place_name("pa"));
    }
    bool accepts_report_of(char const* name, time_point now) const
    {
        return filter.accept_report(report_of(name, 1, 1, false, {}), now);
    }
};

TEST(place_report_filter, single_reports_are_dropped_while_a_relay_reports_for_their_place)
{
    CHECK(accepts_report_of("b1", at_ms(0)));
    CHECK(filter.accept_sums(sums_of("pb", 7, true), at_ms(10)));
    CHECK_FALSE(accepts_report_of("b1", at_ms(20)));
    CHECK(accepts_report_of("a1", at_ms(20)));
    // The relay has fallen silent, and the entries of its place report themselves again.
    CHECK(accepts_report_of("b1", at_ms(1'700)));
}

TEST(place_report_filter, a_new_relay_is_followed_from_its_first_complete_sums)
{
    CHECK(filter.accept_sums(sums_of("pb", 7, true), at_ms(0)));
    CHECK_FALSE(filter.accept_sums(sums_of("pb", 8, false), at_ms(10)));
    CHECK(filter.accept_sums(sums_of("pb", 7, false), at_ms(20)));
    CHECK(filter.accept_sums(sums_of("pb", 8, true), at_ms(30)));
    CHECK(filter.accept_sums(sums_of("pb", 8, false), at_ms(40)));
}

TEST(place_report_filter, a_new_relay_with_too_many_upstreams_for_one_report_follows_a_silent_one)
{
    CHECK(filter.accept_sums(sums_of("pb", 7, true), at_ms(0)));
    CHECK_FALSE(filter.accept_sums(sums_of("pb", 8, false), at_ms(500)));
    CHECK(filter.accept_sums(sums_of("pb", 8, false), at_ms(800)));
}

TEST_GROUP(place_slot_sums)
{
    place_slot_sums sums;
    place_slot_sums::audience near;
    place_slot_sums::audience far;
};

TEST(place_slot_sums, reports_and_own_counts_are_added)
{
    sums.apply_report(report_of("a1", 1, 1, true, {{1, 2}, {2, 1}}), at_ms(0));
    sums.apply_report(report_of("a2", 1, 1, true, {{1, 3}}), at_ms(0));
    CHECK(by_upstream(sums.all_for(near, {{1, 4}, {3, 5}})) ==
          (by_upstream_map{{1, 9}, {2, 1}, {3, 5}}));
}

TEST(place_slot_sums, each_audience_is_told_only_what_changed_for_it)
{
    sums.apply_report(report_of("a1", 1, 1, true, {{1, 2}, {2, 1}}), at_ms(0));
    sums.all_for(near, {});
    CHECK(sums.changes_for(near, {}).empty());
    sums.apply_report(report_of("a1", 1, 2, false, {{1, 3}}), at_ms(1));
    CHECK(by_upstream(sums.changes_for(near, {})) == (by_upstream_map{{1, 3}}));
    CHECK(by_upstream(sums.changes_for(far, {})) == (by_upstream_map{{1, 3}, {2, 1}}));
}

TEST(place_slot_sums, an_idle_upstream_is_told_at_once_and_once_more_with_all_sums)
{
    sums.all_for(near, {{1, 2}, {2, 1}});
    CHECK(by_upstream(sums.changes_for(near, {{2, 1}})) == (by_upstream_map{{1, 0}}));
    CHECK(by_upstream(sums.all_for(near, {{2, 1}})) == (by_upstream_map{{1, 0}, {2, 1}}));
    CHECK(by_upstream(sums.all_for(near, {{2, 1}})) == (by_upstream_map{{2, 1}}));
}

TEST(place_slot_sums, counts_of_a_silent_entry_expire)
{
    sums.apply_report(report_of("a1", 1, 1, true, {{1, 2}}), at_ms(0));
    sums.expire(at_ms(1'700), std::chrono::milliseconds(1'600));
    CHECK(sums.all_for(near, {}).empty());
}

TEST(place_slot_sums, receivers_of_one_relay_know_the_place_through_losses_of_reports)
{
    // Every third report is lost; full ones twice a second make good for it.
    random_source random{3};
    reported_slot_usage receiver;
    std::uint64_t number = 0;
    auto const tell = [&](counts const& told, bool is_full, bool is_lost) {
        if (!is_lost)
            receiver.apply_report(instance_name("place/pa"),
                                  report_of("a0", 1, ++number, is_full, told), at_ms(0));
    };
    for (std::uint64_t step = 1; step <= 200; ++step) {
        auto const upstream = static_cast<std::uint32_t>(random.below(20));
        auto const under_way = static_cast<std::uint16_t>(random.below(5));
        sums.apply_report(report_of("a1", 1, step, false, {{upstream, under_way}}), at_ms(0));
        tell(sums.changes_for(near, {}), false, step % 3 == 0);
    }
    tell(sums.all_for(near, {}), true, false);
    for (auto const& [upstream, under_way] : by_upstream(sums.all_for(far, {})))
        LONGS_EQUAL(under_way, receiver.under_way(upstream_key(upstream)));
}
