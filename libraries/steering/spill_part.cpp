#include "libraries/steering/spill_part.hpp"

#include <algorithm>

namespace burdockstep {

void spill_part::note(bool found_slot)
{
    ++requests_;
    without_slot_ += found_slot ? 0 : 1;
}

void spill_part::step(time_point now)
{
    if (now < next_step_)
        return;
    next_step_ = now + options_.step_interval;
    double const seen =
        requests_ == 0 ? 0.0 : static_cast<double>(without_slot_) / static_cast<double>(requests_);
    requests_ = 0;
    without_slot_ = 0;
    pressure_ += options_.memory * (seen - pressure_);
    if (pressure_ > options_.high_pressure)
        part_ = std::min(options_.most, part_ + options_.step_up);
    else if (pressure_ < options_.low_pressure)
        part_ = std::max(0.0, part_ - options_.step_down);
}

} // namespace burdockstep
