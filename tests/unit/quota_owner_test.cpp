// Token buckets of owned quota shares: when they begin empty and how much they may hold.
#include "tests/fakes/harness.hpp"

#include "libraries/teams/quota_owner.hpp"

#include <string>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(quota_owner)
{
    static constexpr double rate = 100;
    static constexpr double burst = 1.5;

    time_point now = start_time();
    quota_census census{instance_name("self"), start_time()};
    team_quota_table quotas;
    quota_owner owner{census, quotas};
    quota_share const share{.team = hash_of_team(team_name("north")), .index = 0};

    void set_quota(team_quota const& quota)
    {
        team_settings team;
        team.name = team_name("north");
        team.quota = quota;
        quotas.update({team}, now);
    }

    /// Sets which entries are known. Entries other than this one have no part in the share unless
    /// they rank before it.
    void set_entries(std::vector<std::pair<std::string, bool>> const& others)
    {
        std::vector<quota_entry> entries{{.instance = instance_name("self"), .is_alive = true}};
        for (auto const& [name, is_alive] : others)
            entries.push_back({.instance = instance_name(name), .is_alive = is_alive});
        census.update(entries, now);
        owner.follow_census(now);
    }

    /// The name of an entry that ranks before this one, or after it.
    std::string name_of_rank(bool is_before) const
    {
        for (int i = 0;; ++i) {
            std::string name = "other-" + std::to_string(i);
            quota_census both(instance_name("self"), now);
            both.update({{.instance = instance_name("self"), .is_alive = true},
                         {.instance = instance_name(name), .is_alive = true}},
                        now);
            if ((both.owner_of(share)->instance == instance_name(name)) == is_before)
                return name;
        }
    }

    unsigned take(unsigned wanted)
    {
        return owner.answer({.share = share, .wanted = wanted}, now).granted;
    }
};

TEST(quota_owner, a_new_owner_pauses_and_then_grants_at_the_rate)
{
    set_quota({.requests_per_s = rate, .burst = burst});
    set_entries({});
    now += ms(105);
    LONGS_EQUAL(0, take(1));
    now += ms(10);
    LONGS_EQUAL(1, take(1));
    LONGS_EQUAL(0, take(1));
}

TEST(quota_owner, an_entry_that_isnt_the_owner_grants_nothing)
{
    set_quota({.requests_per_s = rate, .burst = burst});
    set_entries({{name_of_rank(true), true}});
    now += ms(5'000);
    LONGS_EQUAL(0, take(1));
    LONGS_EQUAL(0, owner.bucket_count());
}

TEST(quota_owner, ownership_that_was_lost_and_regained_begins_empty)
{
    set_quota({.requests_per_s = 1, .burst = 1.5});
    std::string const other = name_of_rank(true);
    set_entries({});
    now += ms(60'000);
    // No question arrives while the other entry owns the share.
    LONGS_EQUAL(1, take(1));
    now += ms(60'000);
    set_entries({{other, true}});
    now += ms(100);
    set_entries({{other, false}});
    now += ms(100);
    LONGS_EQUAL(0, take(1));
}

TEST(quota_owner, a_bucket_holds_no_more_than_the_part_of_the_living)
{
    set_quota({.requests_per_s = 1, .burst = 3});
    std::string const other = name_of_rank(false);
    set_entries({{other, true}});
    now += ms(60'000);
    LONGS_EQUAL(1, take(1));
    now += ms(60'000);
    set_entries({{other, false}});
    now += ms(1'000);
    set_entries({{other, true}});
    // Half of the burst and of a second's rate, as the other entry may have granted its half.
    LONGS_EQUAL(2, take(3));
}

TEST(quota_owner, a_bucket_that_is_made_after_a_cut_doesnt_hold_what_the_other_side_granted)
{
    set_quota({.requests_per_s = 1, .burst = 3});
    std::string const other = name_of_rank(false);
    set_entries({{other, true}});
    now += ms(60'000);
    set_entries({{other, false}});
    now += ms(1'000);
    set_entries({{other, true}});
    now += ms(100);
    LONGS_EQUAL(0, take(3));
}

TEST(quota_owner, an_entry_lost_long_ago_no_longer_counts)
{
    set_quota({.requests_per_s = 1, .burst = 3});
    std::string const other = name_of_rank(false);
    set_entries({{other, false}});
    DOUBLES_EQUAL(0.5, census.living_part(), 1e-9);
    now += std::chrono::minutes(11);
    census.expire(now);
    DOUBLES_EQUAL(1, census.living_part(), 1e-9);
}

TEST(quota_owner, an_entry_that_vanishes_from_the_list_counts_as_lost_unless_it_left)
{
    set_quota({.requests_per_s = 1, .burst = 3});
    set_entries({{"a", true}});
    set_entries({});
    DOUBLES_EQUAL(0.5, census.living_part(), 1e-9);
    set_entries({{"a", true}});
    DOUBLES_EQUAL(1, census.living_part(), 1e-9);
    census.update({{.instance = instance_name("self"), .is_alive = true},
                   {.instance = instance_name("a"), .leaves_as_planned = true}},
                  now);
    DOUBLES_EQUAL(1, census.living_part(), 1e-9);
    // It becomes silent after its stop, and vanishes.
    set_entries({{"a", false}});
    DOUBLES_EQUAL(1, census.living_part(), 1e-9);
    set_entries({});
    DOUBLES_EQUAL(1, census.living_part(), 1e-9);
}

TEST(quota_owner, a_team_that_is_added_begins_empty)
{
    set_entries({});
    now += ms(60'000);
    set_quota({.requests_per_s = 1, .burst = 3});
    LONGS_EQUAL(0, take(1));
}

TEST(quota_owner, many_entries_that_want_tokens_ask_seldom)
{
    constexpr int askers = 1'000;
    set_quota({.requests_per_s = 20, .burst = 1});
    set_entries({});
    std::vector<time_point> next(askers, now);
    int questions = 0;
    time_point const measured_from = now + ms(3'000);
    time_point const end = now + ms(6'000);
    for (; now < end; now += ms(1)) {
        for (time_point& each : next) {
            if (now < each)
                continue;
            quota_grant const grant = owner.answer({.share = share, .wanted = 1}, now);
            each = now + std::max(grant.wait, ms(20));
            questions += now >= measured_from ? 1 : 0;
        }
    }
    CHECK(questions < 3 * 1'100);
}
