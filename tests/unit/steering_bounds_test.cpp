#include "libraries/dispatch/slot_book.hpp"
#include "libraries/forwarding/admission.hpp"
#include "libraries/requests/windowed_retry_budget.hpp"
#include "libraries/routing/route_table.hpp"
#include "libraries/steering/region_share.hpp"

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
    route deeper = document->routes.front();
    deeper.name = "deeper";
    deeper.prefix = "/read/deep/";
    document->routes.push_back(deeper);
    route_table const with_deeper(document);
    STRCMP_EQUAL("deeper", with_deeper.find("h", "/read/deep/x?y=/z/")->name.c_str());
    STRCMP_EQUAL("read", with_deeper.find("H:8080", "/read/deep")->name.c_str());
    CHECK(with_deeper.find("h", "/read") == nullptr);
    CHECK(with_deeper.find("other", "/read/x") == nullptr);
    CHECK(with_deeper.find("h", "/x?/read/") == nullptr);
}

TEST(route_table, split_keeps_its_weights_over_any_stretch)
{
    route split = sample_document()->routes.front();
    split.services = {{.service = service_name("a"), .weight = 90},
                      {.service = service_name("b"), .weight = 10}};
    weighted_split splits;
    unsigned to_b = 0;
    for (unsigned i = 1; i <= 300; ++i) {
        to_b += splits.next(split) == service_name("b") ? 1 : 0;
        CHECK(std::abs(to_b - i * 0.1) < 1.0);
    }
}

TEST(route_table, service_of_weight_zero_gets_nothing)
{
    route split = sample_document()->routes.front();
    split.services = {{.service = service_name("a"), .weight = 0},
                      {.service = service_name("b"), .weight = 1}};
    weighted_split splits;
    for (unsigned i = 0; i < 20; ++i)
        CHECK(splits.next(split) == service_name("b"));
}

TEST_GROUP(region_share)
{
    time_point now = start_time();
    region_share share{{.most_change = 0.1}};

    /// Sends `count` requests at 100 a second; each leaves when it may. Returns the part that left.
    double drive(unsigned count, bool wants_to_leave)
    {
        unsigned left = 0;
        for (unsigned i = 0; i < count; ++i) {
            now += ms(10);
            share_verdict const verdict = share.judge(now);
            bool const leaves = verdict == share_verdict::must_leave ||
                                (wants_to_leave && verdict != share_verdict::must_stay);
            share.note(leaves, now);
            left += leaves ? 1 : 0;
        }
        return static_cast<double>(left) / count;
    }
};

TEST(region_share, part_that_leaves_grows_and_falls_within_its_bound_in_any_window)
{
    std::vector<bool> left;
    for (unsigned i = 0; i < 9'000; ++i) {
        now += ms(10);
        share_verdict const verdict = share.judge(now);
        bool const wants = i < 4'500;
        bool const leaves =
            verdict == share_verdict::must_leave || (wants && verdict != share_verdict::must_stay);
        share.note(leaves, now);
        left.push_back(leaves);
    }
    auto const part = [&](std::size_t from) {
        double count = 0;
        for (std::size_t i = from; i < from + 200; ++i)
            count += left[i] ? 1 : 0;
        return count / 200;
    };
    for (std::size_t i = 0; i + 400 <= left.size(); ++i)
        CHECK(std::abs(part(i + 200) - part(i)) <= 0.15);
    CHECK(part(4'200) > 0.9);
    CHECK(part(8'700) < 0.1);
}

TEST(region_share, bound_holds_for_slow_entries_together_from_their_first_request_on)
{
    constexpr unsigned windows = 12;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_source random(seed);
        std::vector<region_share> entries(3, region_share({.most_change = 0.1}));
        std::vector<double> requests(windows, 0);
        std::vector<double> left(windows, 0);
        // About fifteen requests a second at each entry; all want to leave after half a second.
        for (unsigned at_ms = 0; at_ms < windows * 2'000; ++at_ms) {
            now += ms(1);
            for (region_share& each : entries) {
                if (random.below(1'000) >= 15)
                    continue;
                share_verdict const verdict = each.judge(now);
                bool const leaves = verdict == share_verdict::must_leave ||
                                    (at_ms > 500 && verdict != share_verdict::must_stay);
                each.note(leaves, now);
                requests[at_ms / 2'000] += 1;
                left[at_ms / 2'000] += leaves ? 1 : 0;
            }
        }
        for (unsigned i = 1; i < windows; ++i)
            CHECK(std::abs(left[i] / requests[i] - left[i - 1] / requests[i - 1]) <= 0.15);
    }
}

TEST(region_share, a_part_that_is_there_from_the_first_request_on_stays)
{
    share.begin(0.5, now);
    unsigned left[3] = {};
    for (unsigned i = 0; i < 600; ++i) {
        now += ms(10);
        share_verdict const verdict = share.judge(now);
        bool const wants = i % 2 == 0;
        bool const leaves =
            verdict == share_verdict::must_leave || (wants && verdict != share_verdict::must_stay);
        share.note(leaves, now);
        left[i / 200] += leaves ? 1 : 0;
    }
    for (unsigned const each : left)
        DOUBLES_EQUAL(100, each, 10);
}

TEST(region_share, nothing_has_to_leave_when_nothing_did)
{
    DOUBLES_EQUAL(0.0, drive(500, false), 1e-9);
}

TEST_GROUP(windowed_retry_budget)
{
    time_point now = start_time();
};

TEST(windowed_retry_budget, nine_entries_together_stay_within_the_bound_in_any_window)
{
    retry_terms const terms{.per_request = 0.2, .fixed = 58, .entries = 9};
    std::vector<windowed_retry_budget> entries(9);
    std::vector<unsigned> requests_at;
    std::vector<unsigned> retries_at;
    for (unsigned step = 0; step < 3'000; ++step) {
        now += ms(10);
        unsigned retries = 0;
        bool const busy = (step / 500) % 2 == 0;
        for (auto& each : entries) {
            if (busy)
                each.note_request(now, terms.window);
            retries += each.try_spend(terms, now) ? 1 : 0;
        }
        requests_at.push_back(busy ? 9 : 0);
        retries_at.push_back(retries);
    }
    for (std::size_t from = 1'000; from + 1'000 <= requests_at.size(); from += 50) {
        double requests = 0;
        double retries = 0;
        for (std::size_t i = from; i < from + 1'000; ++i) {
            requests += requests_at[i];
            retries += retries_at[i];
        }
        CHECK(retries <= 0.2 * requests + 58);
    }
}

TEST(windowed_retry_budget, allowance_comes_back_after_the_window)
{
    retry_terms const terms{.per_request = 0, .fixed = 10, .used_part = 1.0};
    windowed_retry_budget budget;
    for (int i = 0; i < 10; ++i)
        CHECK(budget.try_spend(terms, now));
    CHECK(!budget.try_spend(terms, now));
    now += ms(10'500);
    CHECK(budget.try_spend(terms, now));
}

TEST_GROUP(slot_book)
{
    time_point now = start_time();
    slot_book book;
    upstream_key const key = key_of(upstream_name("u"));

    wire::slot_report report(char const* entry, std::uint64_t number, std::uint16_t count,
                             bool whole = false, std::uint64_t incarnation = 1) const
    {
        wire::slot_report made{.instance = wire::name_text(entry),
                               .incarnation = incarnation,
                               .number = number,
                               .whole = whole,
                               .counts = {}};
        made.counts.add({.upstream = key.get(), .under_way = count});
        return made;
    }
};

TEST(slot_book, counts_of_all_entries_add_up_and_older_reports_are_dropped)
{
    book.take(report("a", 2, 3), now);
    book.take(report("b", 1, 1), now);
    book.take(report("a", 1, 9), now);
    LONGS_EQUAL(4, book.under_way(key));
}

TEST(slot_book, whole_report_clears_what_it_doesn_t_name)
{
    book.take(report("a", 1, 3), now);
    wire::slot_report empty{.instance = wire::name_text("a"),
                            .incarnation = 1,
                            .number = 2,
                            .whole = true,
                            .counts = {}};
    book.take(empty, now);
    LONGS_EQUAL(0, book.under_way(key));
}

TEST(slot_book, a_restarted_or_silent_entry_holds_nothing)
{
    book.take(report("a", 50, 3), now);
    book.take(report("a", 1, 1, true, 2), now);
    LONGS_EQUAL(1, book.under_way(key));
    book.expire(now + ms(2'000), ms(1'600));
    LONGS_EQUAL(0, book.under_way(key));
}

TEST_GROUP(admission)
{
    random_source random{1};
    admission decide{{}, random};
    admission_case const usual{.elapsed = ms(0),
                               .time_left = ms(2'000),
                               .objective = ms(300),
                               .expected_work = ms(200),
                               .requests_ahead = 0,
                               .slots_per_s = 20};
};

TEST(admission, a_request_is_held_while_it_can_still_be_in_time)
{
    auto const hold = decide.hold_for(usual);
    CHECK(hold.has_value());
    CHECK(*hold > ms(60));
    CHECK(*hold + usual.expected_work < usual.objective);
}

TEST(admission, a_queue_that_lasts_longer_than_the_hold_is_not_joined)
{
    auto behind_many = usual;
    behind_many.requests_ahead = 10;
    CHECK(!decide.hold_for(behind_many).has_value());
}

TEST(admission, what_is_late_already_is_refused)
{
    auto late = usual;
    late.elapsed = ms(250);
    CHECK(!decide.hold_for(late).has_value());
    auto expired = usual;
    expired.time_left = ms(1);
    CHECK(!decide.hold_for(expired).has_value());
}

TEST(admission, return_times_lie_within_what_callers_wait)
{
    for (int i = 0; i < 100; ++i) {
        CHECK(decide.retry_after(ms(2'000)) <= ms(90));
        CHECK(decide.retry_after(ms(100)) <= ms(34));
    }
}
