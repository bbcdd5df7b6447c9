#include "libraries/dispatch/report_delays.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Long enough to send all changes of one burst of events in one report.
constexpr duration min_own_region_delay = std::chrono::milliseconds(2);
/// About the travel time of a datagram between regions.
constexpr duration min_other_regions_delay = std::chrono::milliseconds(40);
/// Collects the changes of a whole place; still far below the time that a request takes.
constexpr duration min_other_places_delay = std::chrono::milliseconds(20);
/// Limits on the datagrams that an entry sends per second to the entries of its own region and to
/// those of other regions. At ten microseconds for sending and receiving each, they take less than
/// 2% of a core.
constexpr std::size_t max_own_region_datagrams_per_s = 800;
constexpr std::size_t max_other_regions_datagrams_per_s = 200;

duration delay_within_datagram_limit(std::size_t entries, std::size_t max_datagrams_per_s,
                                     duration min_delay)
{
    duration const delay_at_limit(std::chrono::microseconds(std::chrono::seconds(1)) *
                                  static_cast<std::int64_t>(entries) /
                                  static_cast<std::int64_t>(max_datagrams_per_s));
    return std::max(min_delay, delay_at_limit);
}

} // namespace

report_delays report_delays_for(std::size_t own_region_entries, std::size_t other_regions_entries)
{
    return {.own_region_delay = delay_within_datagram_limit(
                own_region_entries, max_own_region_datagrams_per_s, min_own_region_delay),
            .other_regions_delay = delay_within_datagram_limit(
                other_regions_entries, max_other_regions_datagrams_per_s, min_other_regions_delay),
            .other_places_delay = delay_within_datagram_limit(
                own_region_entries, max_own_region_datagrams_per_s, min_other_places_delay)};
}

} // namespace burdockstep
