#include "libraries/forwarding/admission.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Each sample moves the estimate towards itself by this fraction of the estimate.
constexpr double median_step_fraction = 0.05;
/// A refused caller is told to wait at most this fraction of the time that it has left.
constexpr double max_retry_delay_fraction = 0.3;

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(span * factor);
}

} // namespace

void service_time_estimate::add_sample(duration sample)
{
    if (median_ == duration::zero()) {
        median_ = sample;
        return;
    }
    duration const step = std::max(duration(100), scaled(median_, median_step_fraction));
    median_ += sample > median_ ? step : -step;
}

std::optional<duration> admission::allowed_hold_time(admission_inputs const& inputs) const
{
    duration const needed_time = inputs.expected_service_time + options_.answer_transit_time;
    if (inputs.time_left <= options_.answer_transit_time)
        return std::nullopt;
    duration const on_time_hold = inputs.target_latency - inputs.elapsed - needed_time;
    duration const late_hold =
        scaled(inputs.target_latency, options_.late_request_hold_fraction) - inputs.elapsed;
    duration const max_hold =
        scaled(inputs.target_latency, options_.max_hold_fraction) - inputs.elapsed;
    duration const hold = std::min(std::max(on_time_hold, late_hold), max_hold);
    if (hold <= duration::zero())
        return std::nullopt;
    if (inputs.slots_freed_per_s > 0) {
        double const expected_wait_s = (inputs.requests_ahead + 1) / inputs.slots_freed_per_s;
        if (expected_wait_s > std::chrono::duration<double>(hold).count() &&
            inputs.requests_ahead >= 1)
            return std::nullopt;
    }
    return hold;
}

duration admission::retry_after(duration until_accepted, duration time_left)
{
    double const delay_range_s =
        std::chrono::duration<double>(options_.max_retry_delay - options_.min_retry_delay).count();
    duration const delay = until_accepted + options_.min_retry_delay +
                           std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                               delay_range_s * random_.uniform_fraction()));
    duration const longest = scaled(time_left, max_retry_delay_fraction);
    return std::clamp(delay, duration::zero(), std::max(longest, duration::zero()));
}

} // namespace burdockstep
