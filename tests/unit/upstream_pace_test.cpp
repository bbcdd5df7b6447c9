// The pace of one upstream, found from the answers that the test reports.
#include "libraries/forwarding/upstream_pace.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr unsigned sixteen_slots = 16;

} // namespace

TEST_GROUP(upstream_pace)
{
    time_point now = start_time();
    upstream_pace pace{upstream_pace_options{}, sixteen_slots};

    /// Reports as many answers as end a round.
    void answer_round(double ratio)
    {
        unsigned const answers = std::max(pace.limit(), 3U);
        for (unsigned i = 0; i < answers && !pace.is_steady(); ++i) {
            now += ms(10);
            pace.record_answer(ratio, now, now);
        }
    }
};

TEST(upstream_pace, steady_upstream_is_limited_by_its_slots_alone)
{
    pace.record_shed(now);
    pace.record_failure(now);
    pace.record_answer(4, now, now);
    CHECK(pace.is_steady());
    LONGS_EQUAL(sixteen_slots, pace.limit());
    CHECK_FALSE(pace.has_change());
}

TEST(upstream_pace, limit_doubles_while_answers_hold_and_ends_at_the_slots)
{
    pace.begin(pace_reason::started, now);
    unsigned const first = pace.limit();
    CHECK(first <= 3);
    answer_round(1.0);
    LONGS_EQUAL(2 * first, pace.limit());
    answer_round(1.2);
    LONGS_EQUAL(4 * first, pace.limit());
    answer_round(1.0);
    LONGS_EQUAL(sixteen_slots, pace.limit());
    CHECK_FALSE(pace.is_steady()); // It hasn't yet shown that it bears this.
    answer_round(1.0);
    CHECK(pace.is_steady());
    auto const change = pace.take_change();
    CHECK(change && change->state == pace_state::steady);
    CHECK(change->reason == pace_reason::carries_slots);
    CHECK_FALSE(pace.take_change());
}

TEST(upstream_pace, limit_halves_when_answers_slow_down_and_then_grows_by_one)
{
    pace.begin(pace_reason::started, now);
    answer_round(1.0);
    answer_round(1.0);
    unsigned const before = pace.limit();
    answer_round(2.0);
    LONGS_EQUAL(before / 2, pace.limit());
    CHECK(pace.state() == pace_state::careful);
    answer_round(1.0);
    LONGS_EQUAL(before / 2 + 1, pace.limit());
}

TEST(upstream_pace, limit_halves_at_once_for_a_rejection_and_only_once_for_a_burst_of_them)
{
    pace.begin(pace_reason::returned, now);
    answer_round(1.0);
    answer_round(1.0);
    unsigned const before = pace.limit();
    for (int i = 0; i < 5; ++i)
        pace.record_shed(now + ms(i));
    LONGS_EQUAL(before / 2, pace.limit());
    pace.record_failure(now + ms(200));
    LONGS_EQUAL(before / 4, pace.limit());
    for (std::int64_t i = 2; i < 30; ++i)
        pace.record_failure(now + ms(200 * i));
    LONGS_EQUAL(1, pace.limit());
}

// One that is slow at any load isn't starved: its times don't grow with its requests.
TEST(upstream_pace, limit_rises_if_answers_are_slow_whatever_the_load)
{
    pace.begin(pace_reason::slow, now);
    for (int i = 0; i < 9; ++i)
        answer_round(3.5);
    CHECK(pace.is_steady());
}

TEST(upstream_pace, limit_rises_with_time_alone_if_other_entries_send_the_requests)
{
    pace.begin(pace_reason::started, now);
    unsigned waited_ms = 0;
    for (; !pace.is_steady(); waited_ms += 100)
        pace.update(0, now += ms(100));
    CHECK(waited_ms <= 3'000);
}

TEST(upstream_pace, cold_upstream_gets_at_most_half_of_its_slots)
{
    pace.begin(pace_reason::became_cold, now);
    pace.set_cold(true);
    for (int i = 0; i < 10; ++i)
        answer_round(1.0);
    LONGS_EQUAL(sixteen_slots / 2, pace.limit());
    pace.set_cold(false);
    answer_round(1.0);
    answer_round(1.0);
    CHECK(pace.is_steady());
}

TEST(upstream_pace, slow_upstream_is_paced_once_until_it_has_recovered)
{
    unsigned begun = 0;
    auto const average_for = [&](double ratio, int tenths) {
        for (int i = 0; i < tenths; ++i) {
            now += ms(100);
            pace.record_average_ratio(ratio, now);
            pace.update(0, now);
            auto const change = pace.take_change();
            begun += change && change->reason == pace_reason::slow ? 1 : 0;
        }
    };
    average_for(3.5, 10);
    average_for(1.0, 1);
    LONGS_EQUAL(0, begun); // Not slow for long enough.
    average_for(3.5, 100);
    LONGS_EQUAL(1, begun);
    average_for(1.0, 1);
    average_for(3.5, 20);
    LONGS_EQUAL(2, begun);
}

TEST(upstream_pace, pace_ends_after_its_longest_time_whatever_the_upstream_does)
{
    pace.begin(pace_reason::started, now);
    for (int i = 0; i < 320 && !pace.is_steady(); ++i) {
        now += ms(100);
        pace.record_failure(now);
        pace.update(0, now);
    }
    CHECK(pace.is_steady());
    auto const change = pace.take_change();
    CHECK(change && change->reason == pace_reason::expired);
}

TEST(upstream_pace, upstream_with_one_slot_or_fewer_slots_than_the_limit_is_never_over_them)
{
    upstream_pace single{upstream_pace_options{}, 1};
    single.begin(pace_reason::started, now);
    CHECK(single.is_steady());
    pace.begin(pace_reason::started, now);
    answer_round(1.0);
    answer_round(1.0);
    pace.set_slots(2);
    CHECK(pace.limit() <= 2);
    answer_round(1.0);
    answer_round(1.0);
    CHECK(pace.is_steady());
    LONGS_EQUAL(2, pace.limit());
}

TEST(upstream_pace, answers_to_requests_of_an_earlier_limit_do_not_count)
{
    pace.begin(pace_reason::started, now);
    time_point const earlier = now;
    answer_round(1.0);
    unsigned const limit = pace.limit();
    for (int i = 0; i < 20; ++i)
        pace.record_answer(4, earlier, now += ms(1));
    LONGS_EQUAL(limit, pace.limit());
    CHECK(pace.state() == pace_state::rising);
}

// Silence isn't a good sign while requests are under way.
TEST(upstream_pace, limit_does_not_rise_while_the_first_answers_are_awaited)
{
    pace.begin(pace_reason::started, now);
    unsigned const first = pace.limit();
    pace.update(1, now += ms(2'000));
    LONGS_EQUAL(first, pace.limit());
    pace.update(1, now += ms(500));
    CHECK(pace.limit() > first);
}
