/// How often an entry tells the others what it has under way.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstddef>

namespace burdockstep {

/// Pauses between reports of counts.
struct report_delays
{
    /// Counts that change within this time go into one report to the entries of this region.
    duration own_region_delay{};
    /// The same for the entries of other regions, who use this region's upstreams rarely.
    duration other_regions_delay{};
};

/// The pace at which an entry sends a bounded number of datagrams a second, however many entries
/// there are. Few entries hear of a slot almost at once.
report_delays report_delays_for(std::size_t own_region_entries, std::size_t other_regions_entries);

} // namespace burdockstep
