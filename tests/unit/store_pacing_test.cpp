#include "libraries/discovery/growing_pause.hpp"
#include "libraries/discovery/registry_read_interval.hpp"

#include "tests/fakes/harness.hpp"

#include <algorithm>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(store_pacing)
{
    random_source random{3};

    /// Number of entries that read the registry themselves when the readers fall silent. The update
    /// of one that reads arrives at the others after `delay`.
    std::size_t count_reads(std::size_t entries, duration drain_limit, duration delay)
    {
        std::vector<duration> timeouts;
        for (std::size_t i = 0; i < entries; ++i)
            timeouts.push_back(registry_update_timeout(drain_limit, entries, random));
        duration const first = *std::min_element(timeouts.begin(), timeouts.end());
        return static_cast<std::size_t>(
            std::count_if(timeouts.begin(), timeouts.end(),
                          [&](duration each) { return each <= first + delay; }));
    }
};

TEST(store_pacing, pauses_double_up_to_the_limit_and_are_spread)
{
    growing_pause pause({.first = ms(100), .longest = ms(400)});
    for (duration const mean : {ms(100), ms(200), ms(400), ms(400)}) {
        duration const next = pause.next(random);
        CHECK(next >= mean / 2);
        CHECK(next < mean * 3 / 2);
    }
    pause.reset();
    CHECK(pause.next(random) < ms(150));
}

TEST(store_pacing, a_store_that_rejects_many_entries_gets_few_calls)
{
    // A hundred entries are rejected for 18 seconds.
    unsigned calls = 0;
    for (int entry = 0; entry < 100; ++entry) {
        growing_pause pause{growing_pause_options{}};
        for (duration now{}; now < std::chrono::seconds(18); now += pause.next(random))
            ++calls;
    }
    CHECK(calls <= 1'600);
}

TEST(store_pacing, few_entries_read_the_registry_when_its_readers_fall_silent)
{
    for (std::size_t const entries : {30U, 100U, 300U, 1'000U, 5'200U}) {
        std::size_t const reads = count_reads(entries, ms(3'000), ms(40));
        CHECK(reads >= 1);
        CHECK(reads <= std::max<std::size_t>(12, entries / 8));
    }
}

TEST(store_pacing, the_readers_silence_ends_well_within_the_drain_limit)
{
    for (duration const limit : {ms(2'000), ms(3'000)}) {
        duration const reader_interval = registry_reader_interval(limit);
        for (int i = 0; i < 1'000; ++i)
            CHECK(reader_interval + registry_update_timeout(limit, 300, random) < limit * 9 / 10);
    }
}
