#include "libraries/dispatch/report_pace.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Changes of one burst of events go together.
constexpr duration least_near_delay = std::chrono::milliseconds(2);
/// About as long as a datagram travels between regions.
constexpr duration least_far_delay = std::chrono::milliseconds(40);
/// Datagrams of a second to a region's entries, and to the others': at ten microseconds each, sent
/// and received, they take under two hundredths of a core.
constexpr std::size_t most_near_datagrams = 800;
constexpr std::size_t most_far_datagrams = 200;

duration pause_for(std::size_t entries, std::size_t most_datagrams, duration least)
{
    duration const bounded(std::chrono::microseconds(std::chrono::seconds(1)) *
                           static_cast<std::int64_t>(entries) /
                           static_cast<std::int64_t>(most_datagrams));
    return std::max(least, bounded);
}

} // namespace

report_pace report_pace_for(std::size_t near_entries, std::size_t far_entries)
{
    return {.near_delay = pause_for(near_entries, most_near_datagrams, least_near_delay),
            .far_delay = pause_for(far_entries, most_far_datagrams, least_far_delay)};
}

} // namespace burdockstep
