/// How often an entry tells the others what it has under way.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstddef>

namespace burdockstep {

/// Pauses between reports of counts.
struct report_pace
{
    /// Counts that change within this time go into one report to the entries of this region.
    duration near_delay{};
    /// The same for the entries of other regions, who use this region's upstreams rarely.
    duration far_delay{};
};

/// The pace at which an entry sends a bounded number of datagrams a second, however many entries
/// there are. Few entries hear of a slot almost at once.
report_pace report_pace_for(std::size_t near_entries, std::size_t far_entries);

} // namespace burdockstep
