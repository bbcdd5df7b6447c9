#include "libraries/dispatch/upstream_pool.hpp"

#include "tests/fakes/harness.hpp"

#include <set>
#include <string>

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(upstream_pool)
{
    time_point now = start_time();
    upstream_pool pool{upstream_pool_options{}};
    std::uint64_t next_id = 1;

    void set_equal_members(unsigned count, unsigned slots, duration round_trip = {})
    {
        std::vector<pool_member> members;
        for (unsigned i = 0; i < count; ++i) {
            members.push_back({.name = upstream_name("u" + std::to_string(i)),
                               .slots = slot_count(slots),
                               .round_trip = round_trip});
        }
        pool.set_members(members, now);
    }

    std::vector<pool_command> submit(duration time_limit = std::chrono::seconds(1))
    {
        return pool.submit(
            {.id = request_id(next_id++), .deadline = now + time_limit, .excluded_upstreams = {}},
            now);
    }

    static std::string dispatched_to(std::vector<pool_command> const& commands)
    {
        if (commands.empty() || !std::holds_alternative<dispatch_command>(commands.front()))
            return {};
        return std::get<dispatch_command>(commands.front()).upstream.get();
    }

    static bool is_rejected(std::vector<pool_command> const& commands, refusal_reason reason)
    {
        return commands.size() == 1 && std::holds_alternative<reject_command>(commands.front()) &&
               std::get<reject_command>(commands.front()).reason == reason;
    }
};

TEST(upstream_pool, requests_go_to_the_least_loaded_upstreams)
{
    set_equal_members(3, 2);
    std::set<std::string> used_upstreams;
    for (int i = 0; i < 3; ++i)
        used_upstreams.insert(dispatched_to(submit()));
    LONGS_EQUAL(3, used_upstreams.size());
}

TEST(upstream_pool, request_is_queued_while_all_slots_are_taken_and_dispatched_when_one_is_freed)
{
    set_equal_members(1, 1);
    STRCMP_EQUAL("u0", dispatched_to(submit()).c_str());
    CHECK(submit().empty());
    LONGS_EQUAL(1, pool.load().queued);
    STRCMP_EQUAL("u0",
                 dispatched_to(pool.finish(request_id(1), pool_result::answered, now)).c_str());
}

TEST(upstream_pool, in_flight_never_exceeds_slots_without_a_round_trip)
{
    set_equal_members(2, 3);
    for (int i = 0; i < 10; ++i)
        submit();
    for (pool_member_view const& each : pool.members(now))
        CHECK(each.in_flight <= 3);
}

TEST(upstream_pool, in_flight_exceeds_slots_to_cover_the_round_trip)
{
    // With the assumed latency of 20 ms, half of the time to an answer is spent on the network, so
    // twice as many requests as slots keep the upstream busy.
    set_equal_members(1, 3, ms(10));
    for (int i = 0; i < 20; ++i)
        submit();
    CHECK(pool.load().in_flight > 3);
}

TEST(upstream_pool, request_is_rejected_on_arrival_when_its_expected_wait_is_too_long)
{
    set_equal_members(1, 1);
    std::size_t rejected = 0;
    for (int i = 0; i < 200; ++i)
        rejected += is_rejected(submit(), refusal_reason::no_room) ? 1 : 0;
    CHECK(rejected > 0);
    CHECK(pool.load().queued < 100);
}

TEST(upstream_pool, leaving_upstream_gets_no_new_requests)
{
    set_equal_members(2, 2);
    pool.set_leaving(upstream_name("u0"), true);
    for (int i = 0; i < 2; ++i)
        STRCMP_EQUAL("u1", dispatched_to(submit()).c_str());
    CHECK(submit().empty());
}

TEST(upstream_pool, pool_without_usable_upstream_rejects_at_once)
{
    set_equal_members(1, 1);
    pool.set_leaving(upstream_name("u0"), true);
    CHECK(is_rejected(submit(), refusal_reason::no_upstream));
}

TEST(upstream_pool, removed_upstream_keeps_its_requests_until_they_end)
{
    set_equal_members(1, 2);
    submit();
    pool.set_members({}, now);
    LONGS_EQUAL(1, pool.load().in_flight);
    pool.finish(request_id(1), pool_result::answered, now);
    LONGS_EQUAL(0, pool.load().in_flight);
    CHECK(pool.members(now).empty());
}

TEST(upstream_pool, upstream_is_ejected_after_failures_and_used_again_later)
{
    set_equal_members(2, 8);
    for (std::uint64_t failures = 0; failures < 3;) {
        std::uint64_t const id = next_id;
        bool const fails = dispatched_to(submit()) == "u0";
        pool.finish(request_id(id), fails ? pool_result::lost : pool_result::answered, now);
        failures += fails ? 1 : 0;
    }
    for (int i = 0; i < 4; ++i)
        STRCMP_EQUAL("u1", dispatched_to(submit()).c_str());
    now += std::chrono::seconds(2);
    std::set<std::string> used_upstreams;
    for (int i = 0; i < 4; ++i)
        used_upstreams.insert(dispatched_to(submit()));
    CHECK(used_upstreams.contains("u0"));
}

TEST(upstream_pool, queued_request_is_rejected_after_its_deadline)
{
    set_equal_members(1, 1);
    submit();
    submit(ms(100));
    now += ms(101);
    CHECK(is_rejected(pool.tick(now), refusal_reason::deadline_passed));
    LONGS_EQUAL(0, pool.load().queued);
}

TEST(upstream_pool, upstream_that_sheds_gets_no_requests_for_a_while)
{
    set_equal_members(1, 2);
    submit();
    pool.finish(request_id(1), pool_result::shed, now);
    CHECK(submit().empty());
    now += ms(50);
    STRCMP_EQUAL("u0", dispatched_to(pool.tick(now)).c_str());
}

TEST(upstream_pool, request_is_not_sent_to_an_excluded_upstream)
{
    set_equal_members(2, 1);
    auto const commands = pool.submit({.id = request_id(99),
                                       .deadline = now + ms(500),
                                       .excluded_upstreams = {upstream_name("u0")}},
                                      now);
    STRCMP_EQUAL("u1", dispatched_to(commands).c_str());
    CHECK(
        is_rejected(pool.submit({.id = request_id(100),
                                 .deadline = now + ms(500),
                                 .excluded_upstreams = {upstream_name("u0"), upstream_name("u1")}},
                                now),
                    refusal_reason::no_upstream));
}
