#include "libraries/steering/spill_part.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

void spill_part::note(bool found_slot)
{
    ++requests_;
    without_slot_ += found_slot ? 0 : 1;
}

void spill_part::begin(double planned, time_point now)
{
    if (std::exchange(begun_, true))
        return;
    begun_at_ = now;
    part_ = std::min(options_.most, planned);
}

bool spill_part::adopt(double part, time_point now)
{
    bool const too_late = begun_ && now - begun_at_ > options_.adopted_within;
    if (too_late || std::exchange(adopted_, true))
        return false;
    begin(part, now);
    part_ = std::min(options_.most, part);
    return true;
}

void spill_part::step(time_point now, double far_room, double planned)
{
    if (!is_due(now))
        return;
    next_step_ = now + options_.step_interval;
    double const seen =
        requests_ == 0 ? 0.0 : static_cast<double>(without_slot_) / static_cast<double>(requests_);
    requests_ = 0;
    without_slot_ = 0;
    pressure_ += options_.memory * (seen - pressure_);
    bool const wanted = far_room > options_.ample_room || part_ + options_.step_up <= planned;
    bool const unwanted = far_room < options_.short_room && part_ > planned;
    bool const grows = pressure_ > options_.high_pressure && wanted;
    bool const shrinks = pressure_ < options_.low_pressure || unwanted;
    if (grows)
        part_ = std::min(options_.most, part_ + options_.step_up);
    else if (shrinks)
        part_ = std::max(0.0, part_ - options_.step_down);
}

} // namespace burdockstep
