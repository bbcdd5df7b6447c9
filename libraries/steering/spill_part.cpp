#include "libraries/steering/spill_part.hpp"

#include <algorithm>

namespace burdockstep {

void spill_part::note(bool found_slot)
{
    ++requests_;
    without_slot_ += found_slot ? 0 : 1;
}

void spill_part::step(time_point now, double far_room)
{
    if (!is_due(now))
        return;
    next_step_ = now + options_.step_interval;
    double const seen =
        requests_ == 0 ? 0.0 : static_cast<double>(without_slot_) / static_cast<double>(requests_);
    requests_ = 0;
    without_slot_ = 0;
    pressure_ += options_.memory * (seen - pressure_);
    bool const grows = pressure_ > options_.high_pressure && far_room > options_.ample_room;
    bool const shrinks = pressure_ < options_.low_pressure || far_room < options_.short_room;
    if (grows)
        part_ = std::min(options_.most, part_ + options_.step_up);
    else if (shrinks)
        part_ = std::max(0.0, part_ - options_.step_down);
}

} // namespace burdockstep
