// Quotas of teams over all entries, with the failures that may make them too high or too low.
#include "tests/fakes/harness.hpp"
#include "tests/fakes/quota_network.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::size_t entries = 12;
constexpr double hot = 7;

} // namespace

TEST_GROUP(team_quota)
{
    std::unique_ptr<quota_network> network;
    team_quota quota{.requests_per_s = 100, .burst = 100};
    time_point began;

    void start(quota_network_options options = {.entries = entries})
    {
        network = std::make_unique<quota_network>(options);
        network->configure({make_limited_team("north", quota.requests_per_s, quota.burst)});
        network->run_for(ms(2'000));
        began = network->now();
    }

    /// Loads the first entries with the quota's rate times a factor.
    void load(double factor, std::size_t first_entry = 0, std::size_t count = 0)
    {
        network->set_loads({{.team = 0,
                             .requests_per_s = quota.requests_per_s * factor,
                             .first_entry = first_entry,
                             .entries = count}});
    }

    void check_quota_kept()
    {
        check_quota_kept_with(quota);
    }
    void check_quota_kept_with(team_quota const& limit)
    {
        std::string const broken = network->broken_rule(0, limit, time_point());
        STRCMP_EQUAL("", broken.c_str());
    }

    /// Requests that ran since then, per second.
    double admitted_per_s(time_point from)
    {
        auto const& admitted = network->record(0).admitted;
        auto const ran = admitted.end() - std::lower_bound(admitted.begin(), admitted.end(), from);
        return static_cast<double>(ran) /
               std::chrono::duration<double>(network->now() - from).count();
    }
};

TEST(team_quota, in_calm_all_that_is_within_the_quota_passes)
{
    start();
    load(0.6);
    network->run_for(ms(20'000));
    CHECK(network->admitted_part(0, quota, began) > 0.99);
    LONGS_EQUAL(0, network->record(0).undecided);
}

TEST(team_quota, teams_without_a_quota_are_admitted)
{
    start();
    team_quotas lone(instance_name("e"), quota_question_number(1), start_time());
    team_settings const team = make_limited_team("free", 0, 0);
    CHECK(lone.ask(request_id(1), team, start_time()).verdict == quota_verdict::admitted);
    CHECK(!lone.is_active());
}

TEST(team_quota, a_flood_is_refused_at_once_without_a_message_for_each_request)
{
    start();
    load(hot, 0, 2);
    network->run_for(ms(2'000));
    std::uint64_t const datagrams = network->datagrams();
    std::size_t const arrived = network->record(0).arrived.size();
    network->run_for(ms(5'000));
    check_quota_kept();
    CHECK(network->admitted_part(0, quota, began) > 0.97);
    auto const requests = static_cast<double>(network->record(0).arrived.size() - arrived);
    CHECK(static_cast<double>(network->datagrams() - datagrams) < requests / 2);
    CHECK(network->record(0).longest_wait <= ms(180));
}

TEST(team_quota, retry_after_names_a_time_at_which_a_token_is_there)
{
    quota = {.requests_per_s = 2, .burst = 1};
    start();
    network->ask(0, 0);
    network->run_for(ms(100));
    network->ask(0, 0);
    network->run_for(ms(100));
    quota_answer const refused = network->ask(0, 0);
    CHECK(refused.verdict == quota_verdict::over_quota);
    CHECK(refused.retry_after > ms(100));
    network->run_for(refused.retry_after + ms(20));
    network->ask(0, 0);
    network->run_for(ms(100));
    LONGS_EQUAL(2, network->record(0).admitted.size());
}

TEST(team_quota, two_owners_for_a_moment_dont_double_the_quota)
{
    quota = {.requests_per_s = 20, .burst = 400};
    start();
    load(hot * 4);
    network->run_for(ms(500));
    // Each new owner would grant a whole burst if its bucket began full.
    for (std::size_t i = 0; i < 6; ++i) {
        network->kill(i);
        network->run_for(ms(2'100));
        network->start(i);
        network->run_for(ms(600));
    }
    check_quota_kept();
}

TEST(team_quota, the_loss_of_an_owner_costs_only_its_share)
{
    start();
    load(0.6);
    network->run_for(ms(5'000));
    time_point const killed_at = network->now();
    network->kill(network->owner_of(0, 0, 0));
    network->run_for(ms(2'000));
    // The killed entry's callers are lost too.
    CHECK(admitted_per_s(killed_at) > 0.6 * quota.requests_per_s * 0.85);
    check_quota_kept();
}

TEST(team_quota, a_frozen_owner_begins_with_nothing)
{
    quota = {.requests_per_s = 20, .burst = 400};
    start();
    network->run_for(ms(20'000));
    load(hot * 4, 0, 3);
    std::size_t const frozen = 7;
    network->freeze(frozen);
    network->run_for(ms(15'000));
    network->wake(frozen);
    network->run_for(ms(5'000));
    check_quota_kept();
    CHECK(network->largest_excess(0, quota, time_point()) <= 20);
}

TEST(team_quota, a_bucket_is_dropped_after_a_gap_that_the_clock_counted)
{
    team_quotas owner(instance_name("e"), quota_question_number(1), start_time());
    quota_share const share{.team = hash_of_team(team_name("north")), .index = 0};
    owner.update_teams({make_limited_team("north", 1, 100)}, start_time());
    owner.update_entries(
        {{.instance = instance_name("e"), .distance = quota_distance::itself, .is_alive = true}},
        start_time());
    time_point now = start_time();
    for (; now < start_time() + ms(60'000); now += team_quotas::tick_interval)
        owner.tick(now);
    LONGS_EQUAL(10, owner.answer({{.share = share, .wanted = 10}}, now)[0].granted);
    now += ms(5'000);
    LONGS_EQUAL(0, owner.answer({{.share = share, .wanted = 10}}, now)[0].granted);
}

TEST(team_quota, a_suspension_that_the_clock_didnt_count_drops_buckets_and_tokens)
{
    team_quotas owner(instance_name("e"), quota_question_number(1), start_time());
    quota_share const share{.team = hash_of_team(team_name("north")), .index = 0};
    owner.update_teams({make_limited_team("north", 1, 100)}, start_time());
    owner.update_entries(
        {{.instance = instance_name("e"), .distance = quota_distance::itself, .is_alive = true}},
        start_time());
    time_point now = start_time();
    for (; now < start_time() + ms(60'000); now += team_quotas::tick_interval)
        owner.tick(now);
    owner.forget(now);
    LONGS_EQUAL(0, owner.answer({{.share = share, .wanted = 10}}, now)[0].granted);
}

TEST(team_quota, both_sides_of_a_cut_together_keep_the_quota)
{
    start();
    load(hot);
    network->run_for(ms(3'000));
    for (std::size_t i = 0; i < entries; ++i)
        network->set_group(i, static_cast<unsigned>(i % 3));
    network->run_for(ms(15'000));
    for (std::size_t i = 0; i < entries; ++i)
        network->set_group(i, 0);
    network->run_for(ms(6'000));
    check_quota_kept();
}

TEST(team_quota, a_side_of_a_cut_may_not_keep_a_burst_for_the_time_after_it)
{
    quota = {.requests_per_s = 10, .burst = 400};
    start();
    network->run_for(ms(60'000));
    for (std::size_t i = 0; i < entries; ++i)
        network->set_group(i, static_cast<unsigned>(i % 3));
    network->run_for(ms(40'000));
    load(hot * 8, 0, 1);
    network->run_for(ms(1'500));
    for (std::size_t i = 0; i < entries; ++i)
        network->set_group(i, 0);
    load(hot * 8);
    network->run_for(ms(8'000));
    check_quota_kept();
}

TEST(team_quota, an_entry_that_is_cut_off_spends_only_its_part)
{
    start();
    network->set_group(3, 1);
    load(hot, 3, 1);
    network->run_for(ms(4'000));
    time_point const from = network->now();
    network->run_for(ms(20'000));
    CHECK(admitted_per_s(from) < quota.requests_per_s / entries * 1.3);
    check_quota_kept();
}

TEST(team_quota, a_third_of_the_entries_cut_off_one_by_one_keep_the_quota)
{
    start({.entries = 60});
    load(hot);
    network->run_for(ms(2'000));
    for (std::size_t i = 0; i < 18; ++i)
        network->set_group(i, static_cast<unsigned>(i + 1));
    network->run_for(ms(10'000));
    check_quota_kept();
}

TEST(team_quota, a_lost_answer_is_asked_for_again_elsewhere)
{
    start({.entries = entries, .datagram_loss = 0.1});
    load(0.5);
    network->run_for(ms(20'000));
    check_quota_kept();
    CHECK(network->admitted_part(0, quota, began) > 0.97);
    CHECK(network->record(0).longest_wait <= ms(180));
}

TEST(team_quota, an_answer_that_arrives_twice_counts_once)
{
    start({.entries = entries, .duplicates = 1});
    load(hot);
    network->run_for(ms(10'000));
    check_quota_kept();
    CHECK(network->largest_excess(0, quota, time_point()) <= 20);
}

TEST(team_quota, a_granted_token_is_useless_after_its_lease)
{
    start();
    team_quotas borrower(instance_name("b"), quota_question_number(1), start_time());
    team_settings const team = make_limited_team("small", 1, 2);
    borrower.update_teams({team}, start_time());
    borrower.update_entries({{.instance = instance_name("o"),
                              .distance = quota_distance::same_place,
                              .is_alive = true}},
                            start_time());
    time_point now = start_time();
    borrower.ask(request_id(1), team, now);
    auto const batches = borrower.take_questions(now);
    LONGS_EQUAL(1, batches.size());
    now += ms(10);
    borrower.handle_grants(batches[0].number,
                           {{.share = batches[0].questions[0].share, .granted = 1, .wait = {}}},
                           now);
    LONGS_EQUAL(1, borrower.take_verdicts().size());
    now += ms(100);
    borrower.give_back(request_id(1), team, now);
    LONGS_EQUAL(1, borrower.tokens_held());
    now += ms(200);
    CHECK(borrower.ask(request_id(2), team, now).verdict == quota_verdict::pending);
    borrower.give_back(request_id(2), team, now);
    LONGS_EQUAL(0, borrower.requests_waiting());
}

TEST(team_quota, a_token_that_is_given_back_late_is_lost)
{
    team_quotas lone(instance_name("e"), quota_question_number(1), start_time());
    team_settings const team = make_limited_team("north", 1, 2);
    lone.update_teams({team}, start_time());
    lone.update_entries(
        {{.instance = instance_name("e"), .distance = quota_distance::itself, .is_alive = true}},
        start_time());
    time_point now = start_time() + ms(500);
    lone.tick(now);
    now += ms(500);
    lone.tick(now);
    now += ms(500);
    CHECK(lone.ask(request_id(1), team, now).verdict == quota_verdict::admitted);
    now += ms(300);
    lone.give_back(request_id(1), team, now);
    LONGS_EQUAL(0, lone.tokens_held());
}

TEST(team_quota, tokens_of_refused_requests_serve_others)
{
    start({.entries = entries, .unserved_part = 0.5});
    load(1.4);
    network->run_for(ms(20'000));
    check_quota_kept();
    // Without the tokens that come back, half of the quota's rate would run.
    CHECK(admitted_per_s(began) > quota.requests_per_s * 0.57);
}

TEST(team_quota, a_restarted_entry_begins_with_nothing_and_counts_once)
{
    quota = {.requests_per_s = 20, .burst = 200};
    start({.entries = 3});
    load(hot * 4);
    network->run_for(ms(3'000));
    for (int i = 0; i < 20; ++i) {
        std::size_t const restarted = static_cast<std::size_t>(i) % 3;
        network->kill(restarted);
        network->run_for(ms(100));
        network->start(restarted);
        network->run_for(ms(700));
    }
    check_quota_kept();
    load(0.6);
    network->run_for(ms(5'000));
    time_point const from = network->now();
    network->run_for(ms(5'000));
    CHECK(admitted_per_s(from) > quota.requests_per_s * 0.5);
}

TEST(team_quota, planned_stops_leave_the_whole_quota_to_the_others)
{
    start();
    load(0.95, 6, 6);
    for (std::size_t i = 0; i < 6; ++i) {
        network->stop_as_planned(i);
        network->run_for(ms(600));
        network->kill(i);
        network->run_for(ms(1'400));
    }
    network->run_for(ms(3'000));
    time_point const from = network->now();
    network->run_for(ms(5'000));
    CHECK(admitted_per_s(from) > quota.requests_per_s * 0.85);
    check_quota_kept();
}

TEST(team_quota, a_lowered_quota_holds_soon_and_cuts_what_was_saved)
{
    quota = {.requests_per_s = 100, .burst = 1'000};
    start();
    network->run_for(ms(30'000));
    quota = {.requests_per_s = 10, .burst = 10};
    network->configure({make_limited_team("north", 10, 10)}, ms(500));
    network->run_for(ms(500));
    time_point const from = network->now();
    load(hot * 10);
    network->run_for(ms(10'000));
    std::string const broken = network->broken_rule(0, quota, from);
    STRCMP_EQUAL("", broken.c_str());
    CHECK(network->largest_excess(0, quota, from) < 15);
}

TEST(team_quota, a_raised_quota_is_used_soon)
{
    quota = {.requests_per_s = 10, .burst = 10};
    start();
    load(9);
    network->run_for(ms(5'000));
    network->configure({make_limited_team("north", 100, 100)}, ms(500));
    network->run_for(ms(2'000));
    time_point const from = network->now();
    network->run_for(ms(5'000));
    CHECK(admitted_per_s(from) > 80);
    check_quota_kept_with({.requests_per_s = 100, .burst = 100});
}

TEST(team_quota, an_added_team_is_served_soon)
{
    start();
    network->configure({make_limited_team("north", 100, 100), make_limited_team("new", 50, 50)});
    network->set_loads({{.team = 1, .requests_per_s = 30}});
    network->run_for(ms(500));
    time_point const from = network->now();
    network->run_for(ms(5'000));
    CHECK(network->admitted_part(1, {.requests_per_s = 50, .burst = 50}, from) > 0.97);
}

TEST(team_quota, after_all_start_at_once_the_quota_is_served_within_a_second)
{
    start();
    load(hot);
    for (std::size_t i = 0; i < entries; ++i)
        network->kill(i);
    for (std::size_t i = 0; i < entries; ++i)
        network->start(i);
    load(0.6);
    network->run_for(ms(1'000));
    time_point const from = network->now();
    network->run_for(ms(2'000));
    CHECK(admitted_per_s(from) > 0.55 * quota.requests_per_s);
    check_quota_kept();
}

TEST(team_quota, silent_owners_make_no_one_over_its_quota)
{
    team_quotas borrower(instance_name("b"), quota_question_number(1), start_time());
    team_settings const team = make_limited_team("small", 1, 2);
    borrower.update_teams({team}, start_time());
    borrower.update_entries({{.instance = instance_name("o"),
                              .distance = quota_distance::same_place,
                              .is_alive = true}},
                            start_time());
    time_point now = start_time();
    CHECK(borrower.ask(request_id(1), team, now).verdict == quota_verdict::pending);
    for (; now <= start_time() + ms(200); now += team_quotas::tick_interval) {
        borrower.tick(now);
        borrower.take_questions(now);
    }
    auto const verdicts = borrower.take_verdicts();
    LONGS_EQUAL(1, verdicts.size());
    CHECK(verdicts[0].answer.verdict == quota_verdict::undecided);
    CHECK(verdicts[0].answer.retry_after > duration::zero());
    LONGS_EQUAL(0, borrower.requests_waiting());
}

TEST(team_quota, a_stall_past_the_lease_leaves_no_share_unasked_for_good)
{
    team_quotas borrower(instance_name("b"), quota_question_number(1), start_time());
    team_settings const team = make_limited_team("small", 1, 2);
    borrower.update_teams({team}, start_time());
    borrower.update_entries({{.instance = instance_name("o"),
                              .distance = quota_distance::same_place,
                              .is_alive = true}},
                            start_time());
    time_point now = start_time();
    borrower.ask(request_id(1), team, now);
    CHECK(!borrower.take_questions(now).empty());
    now += ms(300);
    borrower.tick(now);
    borrower.take_verdicts();
    borrower.ask(request_id(2), team, now);
    CHECK(!borrower.take_questions(now).empty());
}

TEST(team_quota, shares_that_were_never_asked_make_no_one_over_its_quota)
{
    team_quotas borrower(instance_name("b"), quota_question_number(1), start_time());
    team_settings const team = make_limited_team("large", 100, 100);
    borrower.update_teams({team}, start_time());
    borrower.update_entries({{.instance = instance_name("o"),
                              .distance = quota_distance::same_place,
                              .is_alive = true}},
                            start_time());
    time_point now = start_time();
    CHECK(borrower.ask(request_id(1), team, now).verdict == quota_verdict::pending);
    for (; now <= start_time() + ms(200); now += team_quotas::tick_interval) {
        borrower.tick(now);
        borrower.take_questions(now);
    }
    auto const verdicts = borrower.take_verdicts();
    LONGS_EQUAL(1, verdicts.size());
    CHECK(verdicts[0].answer.verdict == quota_verdict::undecided);
}

TEST(team_quota, state_is_kept_only_for_teams_seen_lately)
{
    team_quotas lone(instance_name("e"), quota_question_number(1), start_time());
    constexpr int team_count = 2'000;
    std::vector<team_settings> teams;
    teams.reserve(team_count);
    for (int i = 0; i < team_count; ++i)
        teams.push_back(make_limited_team("team-" + std::to_string(i), 1, 2));
    lone.update_teams(teams, start_time());
    lone.update_entries(
        {{.instance = instance_name("e"), .distance = quota_distance::itself, .is_alive = true}},
        start_time());
    time_point now = start_time() + ms(500);
    std::uint64_t id = 0;
    for (team_settings const& each : teams)
        lone.ask(request_id(++id), each, now);
    LONGS_EQUAL(2'000, lone.teams_in_use());
    for (; now < start_time() + ms(30'000); now += team_quotas::tick_interval)
        lone.tick(now);
    LONGS_EQUAL(0, lone.teams_in_use());
    LONGS_EQUAL(0, lone.owner().bucket_count());
}

TEST(team_quota, shares_are_large_enough_to_grant)
{
    LONGS_EQUAL(1, share_count({.requests_per_s = 1, .burst = 1}));
    LONGS_EQUAL(1, share_count({.requests_per_s = 300, .burst = 0}));
    LONGS_EQUAL(8, share_count({.requests_per_s = 100, .burst = 100}));
    LONGS_EQUAL(64, share_count({.requests_per_s = 1e6, .burst = 1e6}));
}
