/// Sums of slots over several upstreams.
#pragma once

#include "libraries/forwarding/upstream_tracker.hpp"

#include <algorithm>

namespace burdockstep {

/// Total and free slots of several upstreams.
struct slot_totals
{
    unsigned slots = 0;
    unsigned free = 0;

    void add(upstream_tracker const& tracker, reported_slot_usage const& peer_counts,
             time_point now)
    {
        slots += tracker.slots();
        free += tracker.slots() - std::min(tracker.slots(), tracker.occupancy(peer_counts, now));
    }
    double free_slot_fraction() const
    {
        return slots > 0 ? static_cast<double>(free) / static_cast<double>(slots) : 0.0;
    }
};

} // namespace burdockstep
