#include "libraries/dispatch/report_delays.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;

namespace {

double datagrams_per_second(std::size_t entries, duration delay)
{
    return static_cast<double>(entries) / std::chrono::duration<double>(delay).count();
}

} // namespace

TEST_GROUP(report_delays){};

TEST(report_delays, few_entries_are_sent_reports_within_3_ms)
{
    CHECK(report_delays_for(2, 6).own_region_delay <= std::chrono::milliseconds(3));
}

TEST(report_delays, datagram_rate_is_bounded_at_any_number_of_entries)
{
    for (std::size_t const entries : {30U, 90U, 300U, 5'200U}) {
        report_delays const delays = report_delays_for(entries / 3, entries - entries / 3);
        CHECK(datagrams_per_second(entries / 3, delays.own_region_delay) <= 800.5);
        CHECK(datagrams_per_second(entries - entries / 3, delays.other_regions_delay) <= 200.5);
    }
}

TEST(report_delays, delays_are_shorter_than_the_report_lifetime_at_300_entries)
{
    // Entries drop counts for which no report has arrived for 1.6 s.
    report_delays const delays = report_delays_for(100, 200);
    CHECK(delays.own_region_delay < std::chrono::milliseconds(800));
    CHECK(delays.other_regions_delay < std::chrono::milliseconds(1'600));
}
