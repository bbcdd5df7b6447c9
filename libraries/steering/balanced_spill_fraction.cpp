#include "libraries/steering/balanced_spill_fraction.hpp"

#include <algorithm>

namespace burdockstep {

double balanced_spill_fraction(region_capacity const& capacity)
{
    if (capacity.total_slots <= 0 || capacity.total_entries <= 0 || capacity.region_entries <= 0)
        return 0;
    double const slot_fraction = capacity.region_slots / capacity.total_slots;
    double const caller_fraction = capacity.region_entries / capacity.total_entries;
    return std::max(0.0, 1.0 - slot_fraction / caller_fraction);
}

} // namespace burdockstep
