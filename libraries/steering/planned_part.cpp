#include "libraries/steering/planned_part.hpp"

#include <algorithm>

namespace burdockstep {

double planned_part(region_weight const& weight)
{
    if (weight.all_slots <= 0 || weight.all_entries <= 0 || weight.near_entries <= 0)
        return 0;
    double const of_slots = weight.near_slots / weight.all_slots;
    double const of_callers = weight.near_entries / weight.all_entries;
    return std::max(0.0, 1.0 - of_slots / of_callers);
}

} // namespace burdockstep
