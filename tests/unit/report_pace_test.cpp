#include "libraries/dispatch/report_pace.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;

namespace {

double datagrams_a_second(std::size_t entries, duration pause)
{
    return static_cast<double>(entries) / std::chrono::duration<double>(pause).count();
}

} // namespace

TEST_GROUP(report_pace){};

TEST(report_pace, few_entries_hear_of_a_slot_almost_at_once)
{
    CHECK(report_pace_for(2, 6).near_delay <= std::chrono::milliseconds(3));
}

TEST(report_pace, datagrams_dont_grow_with_the_entries)
{
    for (std::size_t const entries : {30U, 90U, 300U, 5'200U}) {
        report_pace const pace = report_pace_for(entries / 3, entries - entries / 3);
        CHECK(datagrams_a_second(entries / 3, pace.near_delay) <= 800.5);
        CHECK(datagrams_a_second(entries - entries / 3, pace.far_delay) <= 200.5);
    }
}

TEST(report_pace, reports_of_some_hundred_entries_are_younger_than_their_lifetime)
{
    // Counts that weren't told for 1.6 s are dropped.
    report_pace const pace = report_pace_for(100, 200);
    CHECK(pace.near_delay < std::chrono::milliseconds(800));
    CHECK(pace.far_delay < std::chrono::milliseconds(1'600));
}
