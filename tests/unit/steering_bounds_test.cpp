#include "libraries/dispatch/reported_slot_usage.hpp"
#include "libraries/forwarding/admission.hpp"
#include "libraries/requests/windowed_retry_budget.hpp"
#include "libraries/routing/route_table.hpp"
#include "libraries/steering/outbound_fraction_limiter.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

#include <cmath>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(route_table)
{
    route_table table{sample_document()};
};

TEST(route_table, longest_prefix_of_the_host_wins)
{
    auto document = sample_document();
    route nested_route = document->routes.front();
    nested_route.name = "deeper";
    nested_route.prefix = "/read/deep/";
    document->routes.push_back(nested_route);
    route_table const table_with_nested_route(document);
    STRCMP_EQUAL("deeper", table_with_nested_route.find("h", "/read/deep/x?y=/z/")->name.c_str());
    STRCMP_EQUAL("read", table_with_nested_route.find("H:8080", "/read/deep")->name.c_str());
    CHECK(table_with_nested_route.find("h", "/read") == nullptr);
    CHECK(table_with_nested_route.find("other", "/read/x") == nullptr);
    CHECK(table_with_nested_route.find("h", "/x?/read/") == nullptr);
}

TEST(route_table, split_deviates_from_its_weights_by_less_than_one_request)
{
    route split = sample_document()->routes.front();
    split.services = {{.service = service_name("a"), .weight = 90},
                      {.service = service_name("b"), .weight = 10}};
    weighted_split splitter;
    unsigned requests_to_b = 0;
    for (unsigned i = 1; i <= 300; ++i) {
        requests_to_b += splitter.next_service(split) == service_name("b") ? 1 : 0;
        CHECK(std::abs(requests_to_b - i * 0.1) < 1.0);
    }
}

TEST(route_table, service_of_weight_zero_gets_no_requests)
{
    route split = sample_document()->routes.front();
    split.services = {{.service = service_name("a"), .weight = 0},
                      {.service = service_name("b"), .weight = 1}};
    weighted_split splitter;
    for (unsigned i = 0; i < 20; ++i)
        CHECK(splitter.next_service(split) == service_name("b"));
}

TEST_GROUP(outbound_fraction_limiter)
{
    time_point now = start_time();
    outbound_fraction_limiter limiter{{.max_change_per_window = 0.1}};

    /// Sends `count` requests at 100 a second. Each goes to another region if it must, or if it may
    /// and `wants_to_leave` is set. Returns the fraction that did.
    double send_requests(unsigned count, bool wants_to_leave)
    {
        unsigned outbound = 0;
        for (unsigned i = 0; i < count; ++i) {
            now += ms(10);
            outbound_verdict const verdict = limiter.check_next_request(now);
            bool const leaves = verdict == outbound_verdict::must_leave ||
                                (wants_to_leave && verdict != outbound_verdict::must_stay);
            limiter.note(leaves, now);
            outbound += leaves ? 1 : 0;
        }
        return static_cast<double>(outbound) / count;
    }
};

TEST(outbound_fraction_limiter,
     outbound_fraction_changes_within_its_bound_between_consecutive_windows)
{
    std::vector<bool> outbound;
    for (unsigned i = 0; i < 9'000; ++i) {
        now += ms(10);
        outbound_verdict const verdict = limiter.check_next_request(now);
        bool const prefers_to_leave = i < 4'500;
        bool const leaves = verdict == outbound_verdict::must_leave ||
                            (prefers_to_leave && verdict != outbound_verdict::must_stay);
        limiter.note(leaves, now);
        outbound.push_back(leaves);
    }
    auto const outbound_fraction = [&](std::size_t from) {
        double count = 0;
        for (std::size_t i = from; i < from + 200; ++i)
            count += outbound[i] ? 1 : 0;
        return count / 200;
    };
    for (std::size_t i = 0; i + 400 <= outbound.size(); ++i)
        CHECK(std::abs(outbound_fraction(i + 200) - outbound_fraction(i)) <= 0.15);
    CHECK(outbound_fraction(4'200) > 0.9);
    CHECK(outbound_fraction(8'700) < 0.1);
}

TEST(outbound_fraction_limiter,
     bound_holds_for_the_sum_of_low_traffic_entries_from_the_first_request)
{
    constexpr unsigned window_count = 12;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_source random(seed);
        std::vector<outbound_fraction_limiter> entries(
            3, outbound_fraction_limiter({.max_change_per_window = 0.1}));
        std::vector<double> requests(window_count, 0);
        std::vector<double> outbound(window_count, 0);
        // Each entry gets about 15 requests a second. After half a second, all of them go to
        // another region whenever they may.
        for (unsigned at_ms = 0; at_ms < window_count * 2'000; ++at_ms) {
            now += ms(1);
            for (outbound_fraction_limiter& each : entries) {
                if (random.below(1'000) >= 15)
                    continue;
                outbound_verdict const verdict = each.check_next_request(now);
                bool const leaves = verdict == outbound_verdict::must_leave ||
                                    (at_ms > 500 && verdict != outbound_verdict::must_stay);
                each.note(leaves, now);
                requests[at_ms / 2'000] += 1;
                outbound[at_ms / 2'000] += leaves ? 1 : 0;
            }
        }
        for (unsigned i = 1; i < window_count; ++i)
            CHECK(std::abs(outbound[i] / requests[i] - outbound[i - 1] / requests[i - 1]) <= 0.15);
    }
}

TEST(outbound_fraction_limiter, initial_outbound_fraction_is_kept_from_the_first_request_on)
{
    limiter.begin(0.5, now);
    unsigned outbound[3] = {};
    for (unsigned i = 0; i < 600; ++i) {
        now += ms(10);
        outbound_verdict const verdict = limiter.check_next_request(now);
        bool const prefers_to_leave = i % 2 == 0;
        bool const leaves = verdict == outbound_verdict::must_leave ||
                            (prefers_to_leave && verdict != outbound_verdict::must_stay);
        limiter.note(leaves, now);
        outbound[i / 200] += leaves ? 1 : 0;
    }
    for (unsigned const each : outbound)
        DOUBLES_EQUAL(100, each, 10);
}

TEST(outbound_fraction_limiter, no_request_must_leave_when_none_has_left)
{
    DOUBLES_EQUAL(0.0, send_requests(500, false), 1e-9);
}

TEST_GROUP(windowed_retry_budget)
{
    time_point now = start_time();
};

TEST(windowed_retry_budget, nine_entries_together_stay_within_the_retry_bound_in_any_window)
{
    retry_limits const terms{.max_retry_ratio = 0.2, .fixed_retries = 58, .entries = 9};
    std::vector<windowed_retry_budget> entries(9);
    std::vector<unsigned> requests_per_step;
    std::vector<unsigned> retries_per_step;
    for (unsigned step = 0; step < 3'000; ++step) {
        now += ms(10);
        unsigned retries = 0;
        bool const busy = (step / 500) % 2 == 0;
        for (auto& each : entries) {
            if (busy)
                each.record_request(now, terms.window);
            retries += each.try_spend(terms, now) ? 1 : 0;
        }
        requests_per_step.push_back(busy ? 9 : 0);
        retries_per_step.push_back(retries);
    }
    for (std::size_t from = 1'000; from + 1'000 <= requests_per_step.size(); from += 50) {
        double requests = 0;
        double retries = 0;
        for (std::size_t i = from; i < from + 1'000; ++i) {
            requests += requests_per_step[i];
            retries += retries_per_step[i];
        }
        CHECK(retries <= 0.2 * requests + 58);
    }
}

TEST(windowed_retry_budget, retries_are_allowed_again_after_the_window)
{
    retry_limits const terms{.max_retry_ratio = 0, .fixed_retries = 10, .used_fraction = 1.0};
    windowed_retry_budget budget;
    for (int i = 0; i < 10; ++i)
        CHECK(budget.try_spend(terms, now));
    CHECK(!budget.try_spend(terms, now));
    now += ms(10'500);
    CHECK(budget.try_spend(terms, now));
}

TEST_GROUP(reported_slot_usage)
{
    time_point now = start_time();
    reported_slot_usage usage;
    upstream_key const key = key_of(upstream_name("u"));

    wire::slot_report report(char const* entry, std::uint64_t number, std::uint16_t count,
                             bool is_full_report = false, std::uint64_t incarnation = 1) const
    {
        wire::slot_report built_report{.instance = wire::name_text(entry),
                                       .incarnation = incarnation,
                                       .number = number,
                                       .is_full_report = is_full_report,
                                       .counts = {}};
        built_report.counts.add({.upstream = key.get(), .under_way = count});
        return built_report;
    }
};

TEST(reported_slot_usage, counts_of_all_entries_are_summed_and_outdated_reports_are_dropped)
{
    usage.apply_report(report("a", 2, 3), now);
    usage.apply_report(report("b", 1, 1), now);
    usage.apply_report(report("a", 1, 9), now);
    LONGS_EQUAL(4, usage.under_way(key));
}

TEST(reported_slot_usage, full_report_clears_upstreams_that_it_does_not_list)
{
    usage.apply_report(report("a", 1, 3), now);
    wire::slot_report empty_report{.instance = wire::name_text("a"),
                                   .incarnation = 1,
                                   .number = 2,
                                   .is_full_report = true,
                                   .counts = {}};
    usage.apply_report(empty_report, now);
    LONGS_EQUAL(0, usage.under_way(key));
}

TEST(reported_slot_usage, old_counts_of_a_restarted_or_silent_entry_are_dropped)
{
    usage.apply_report(report("a", 50, 3), now);
    usage.apply_report(report("a", 1, 1, true, 2), now);
    LONGS_EQUAL(1, usage.under_way(key));
    usage.expire(now + ms(2'000), ms(1'600));
    LONGS_EQUAL(0, usage.under_way(key));
}

TEST_GROUP(admission)
{
    random_source random{1};
    admission admission_policy{{}, random};
    admission_inputs const typical_request{.elapsed = ms(0),
                                           .time_left = ms(2'000),
                                           .target_latency = ms(300),
                                           .expected_service_time = ms(200),
                                           .requests_ahead = 0,
                                           .slots_freed_per_s = 20};
};

TEST(admission, request_is_held_while_it_can_still_meet_its_objective)
{
    auto const hold = admission_policy.allowed_hold_time(typical_request);
    CHECK(hold.has_value());
    CHECK(*hold > ms(60));
    CHECK(*hold + typical_request.expected_service_time < typical_request.target_latency);
}

TEST(admission, request_is_refused_when_its_queue_wait_exceeds_its_hold)
{
    auto with_long_queue = typical_request;
    with_long_queue.requests_ahead = 10;
    CHECK(!admission_policy.allowed_hold_time(with_long_queue).has_value());
}

TEST(admission, late_request_is_refused)
{
    auto late = typical_request;
    late.elapsed = ms(250);
    CHECK(!admission_policy.allowed_hold_time(late).has_value());
    auto expired = typical_request;
    expired.time_left = ms(1);
    CHECK(!admission_policy.allowed_hold_time(expired).has_value());
}

TEST(admission, retry_after_is_bounded_by_the_time_left)
{
    for (int i = 0; i < 100; ++i) {
        CHECK(admission_policy.retry_after(ms(0), ms(2'000)) <= ms(90));
        CHECK(admission_policy.retry_after(ms(0), ms(100)) <= ms(34));
    }
}
