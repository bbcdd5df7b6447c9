/// The fraction of a region's requests that other regions serve when load is balanced evenly.
#pragma once

namespace burdockstep {

/// Slots and entries of one region, and of all regions together, as known to an entry. The number
/// of entries stands in for the number of callers, which is unknown before they send requests.
struct region_capacity
{
    double region_slots = 0;
    double total_slots = 0;
    double region_entries = 0;
    double total_entries = 0;
};

/// Returns the fraction of the region's requests, 0 to 1, to serve in other regions so that all
/// slots are equally loaded. It is 0 if the region's fraction of all slots is at least its fraction
/// of all callers.
double balanced_spill_fraction(region_capacity const& capacity);

} // namespace burdockstep
