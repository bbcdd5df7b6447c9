#include "libraries/discovery/registry_read_interval.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Leaves time for an interval, a time-out and a read across regions within the drain limit.
constexpr int reads_per_drain_limit = 4;
/// An entry that receives no update for this many intervals reads itself at the earliest.
constexpr double min_timeout_intervals = 1.25;
/// Random part of the time-out, in intervals, when there are many entries.
constexpr double max_random_intervals = 1.0;
/// With fewer entries the random part is proportionally shorter.
constexpr double entries_for_longest_spread = 64;

} // namespace

duration registry_reader_interval(duration drain_limit)
{
    return drain_limit / reads_per_drain_limit;
}

duration registry_update_timeout(duration drain_limit, std::size_t entries, random_source& random)
{
    double const spread = std::min(1.0, static_cast<double>(entries) / entries_for_longest_spread);
    double const intervals =
        min_timeout_intervals + max_random_intervals * spread * random.uniform_fraction();
    return std::chrono::duration_cast<duration>(registry_reader_interval(drain_limit) * intervals);
}

} // namespace burdockstep
