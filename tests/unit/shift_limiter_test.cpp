#include "libraries/steering/shift_limiter.hpp"

#include "libraries/core/random.hpp"

#include "tests/fakes/harness.hpp"

#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr double cap_fraction = 0.2;
shift_limits const limits{.cap = percent(20), .interval = ms(1'000)};

} // namespace

TEST_GROUP(shift_limiter)
{
    time_point now = start_time();

    /// Sends requests for one second and tries to shift each. Returns the number that was shifted.
    unsigned send_for_one_second(shift_limiter & limiter, unsigned requests)
    {
        unsigned shifted = 0;
        for (unsigned i = 0; i < requests; ++i) {
            limiter.note_arrival(now);
            shifted += limiter.try_shift() ? 1 : 0;
            now += duration(1'000'000 / requests);
        }
        return shifted;
    }
};

TEST(shift_limiter, each_step_may_shift_the_cap_more_than_the_last)
{
    shift_limiter limiter(limits, now);
    for (unsigned const expected : {20U, 40U, 60U, 80U, 100U, 100U})
        LONGS_EQUAL(expected, send_for_one_second(limiter, 100));
}

TEST(shift_limiter, low_traffic_is_shifted_completely_after_enough_steps)
{
    shift_limiter limiter(limits, now);
    unsigned shifted_in_last_second = 0;
    for (int second = 0; second < 60; ++second)
        shifted_in_last_second = send_for_one_second(limiter, 1);
    LONGS_EQUAL(1, shifted_in_last_second);
}

TEST(shift_limiter, requests_shifted_here_by_other_entries_raise_the_limit)
{
    shift_limiter limiter(limits, now);
    for (int second = 0; second < 2; ++second) {
        for (int i = 0; i < 60; ++i) {
            limiter.note_arrival(now);
            limiter.note_shifted_by_other_entry();
            now += ms(16);
        }
    }
    CHECK(limiter.shifted_fraction_limit() >= 1.0);
}

TEST(shift_limiter, sum_over_uncoordinated_entries_stays_under_the_cap)
{
    // Nine entries with uneven traffic, which can reach neither each other nor the store, try to
    // shift all requests at once, as if a region had failed during a store outage.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_source random(seed);
        now = start_time();
        std::vector<shift_limiter> entries(9, shift_limiter(limits, now));
        std::vector<std::uint64_t> requests_per_second;
        for (std::size_t i = 0; i < entries.size(); ++i)
            requests_per_second.push_back(5 + random.below(200));
        double previous_fraction = 0;
        for (int second = 0; second < 8; ++second) {
            double arrivals = 0;
            double shifted = 0;
            time_point const step_start = now;
            for (std::size_t i = 0; i < entries.size(); ++i) {
                now = step_start;
                auto const requests = static_cast<unsigned>(requests_per_second[i]);
                arrivals += requests;
                shifted += send_for_one_second(entries[i], requests);
            }
            now = step_start + ms(1'000);
            CHECK(shifted / arrivals <= previous_fraction + cap_fraction + 1e-6);
            previous_fraction = shifted / arrivals;
        }
    }
}

TEST(shift_limiter, idle_time_does_not_allow_a_larger_step)
{
    shift_limiter limiter(limits, now);
    send_for_one_second(limiter, 100);
    now += std::chrono::hours(1);
    LONGS_EQUAL(40, send_for_one_second(limiter, 100));
}
