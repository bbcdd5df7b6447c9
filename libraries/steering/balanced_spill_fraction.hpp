/// Which part of a region's requests other regions should serve when all are loaded alike.
#pragma once

namespace burdockstep {

/// One region beside all of them, as an entry knows them. Entries stand for callers: those are not
/// known before they have sent anything.
struct region_capacity
{
    double region_slots = 0;
    double total_slots = 0;
    double region_entries = 0;
    double total_entries = 0;
};

/// 0 where the region's part of the slots is at least its part of the callers.
double balanced_spill_fraction(region_capacity const& capacity);

} // namespace burdockstep
