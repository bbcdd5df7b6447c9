/// How often an entry reports its requests in progress to other entries.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstddef>

namespace burdockstep {

/// Delays for which an entry collects changes of its counts before it sends a report.
struct report_delays
{
    /// Changes within this time go into one report to the entries of the own region.
    duration own_region_delay{};
    /// Changes within this time go into one report to the entries of other regions, which rarely
    /// use this region's upstreams.
    duration other_regions_delay{};
    /// Changes within this time go into one report of a place's relay to the other places of the
    /// region.
    duration other_places_delay{};

    friend bool operator==(report_delays const&, report_delays const&) = default;
};

/// Returns delays that limit the datagrams an entry sends per second, regardless of the number of
/// entries. With few entries the delays are so short that a change of slots is reported almost
/// immediately.
report_delays report_delays_for(std::size_t own_region_entries, std::size_t other_regions_entries);

} // namespace burdockstep
