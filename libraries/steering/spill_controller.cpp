#include "libraries/steering/spill_controller.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

void spill_controller::note(bool found_slot)
{
    ++requests_;
    requests_without_slot_ += found_slot ? 0 : 1;
}

void spill_controller::begin(double balanced_fraction, time_point now)
{
    if (std::exchange(begun_, true))
        return;
    begun_at_ = now;
    spilled_fraction_ = std::min(options_.max_spilled_fraction, balanced_fraction);
}

bool spill_controller::adopt(double part, time_point now)
{
    if (!may_adopt(now))
        return false;
    adopted_ = true;
    begin(part, now);
    spilled_fraction_ = std::min(options_.max_spilled_fraction, part);
    return true;
}

void spill_controller::step(time_point now, double remote_free_fraction, double balanced_fraction)
{
    if (!is_step_due(now))
        return;
    next_step_at_ = now + options_.step_interval;
    double const no_slot_fraction = requests_ == 0 ? 0.0
                                                   : static_cast<double>(requests_without_slot_) /
                                                         static_cast<double>(requests_);
    requests_ = 0;
    requests_without_slot_ = 0;
    smoothed_no_slot_fraction_ +=
        options_.smoothing_factor * (no_slot_fraction - smoothed_no_slot_fraction_);
    bool const growth_allowed = remote_free_fraction > options_.grow_above_remote_free_fraction ||
                                spilled_fraction_ + options_.growth_per_step <= balanced_fraction;
    bool const shrinking_required =
        remote_free_fraction < options_.shrink_below_remote_free_fraction &&
        spilled_fraction_ > balanced_fraction;
    bool const grows =
        smoothed_no_slot_fraction_ > options_.grow_above_no_slot_fraction && growth_allowed;
    bool const shrinks =
        smoothed_no_slot_fraction_ < options_.shrink_below_no_slot_fraction || shrinking_required;
    if (grows)
        spilled_fraction_ =
            std::min(options_.max_spilled_fraction, spilled_fraction_ + options_.growth_per_step);
    else if (shrinks)
        spilled_fraction_ = std::max(0.0, spilled_fraction_ - options_.shrinkage_per_step);
}

} // namespace burdockstep
