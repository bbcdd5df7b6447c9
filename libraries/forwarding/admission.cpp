#include "libraries/forwarding/admission.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Each observation moves the estimate by this part of itself towards the observation.
constexpr double median_step = 0.05;
/// Callers wait at most this part of the time they have left before they come back.
constexpr double longest_return_part = 0.3;

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(span * factor);
}

} // namespace

void work_estimate::note(duration seen)
{
    if (typical_ == duration::zero()) {
        typical_ = seen;
        return;
    }
    duration const step = std::max(duration(100), scaled(typical_, median_step));
    typical_ += seen > typical_ ? step : -step;
}

std::optional<duration> admission::hold_for(admission_case const& which) const
{
    duration const needed = which.expected_work + options_.caller_delay;
    if (which.time_left <= options_.caller_delay)
        return std::nullopt;
    duration const in_time = which.objective - which.elapsed - needed;
    duration const hopeless = scaled(which.objective, options_.hopeless_hold_part) - which.elapsed;
    duration const longest = scaled(which.objective, options_.longest_hold_part) - which.elapsed;
    duration const hold = std::min(std::max(in_time, hopeless), longest);
    if (hold <= duration::zero())
        return std::nullopt;
    if (which.slots_per_s > 0) {
        double const wait_s = (which.requests_ahead + 1) / which.slots_per_s;
        if (wait_s > std::chrono::duration<double>(hold).count() && which.requests_ahead >= 1)
            return std::nullopt;
    }
    return hold;
}

duration admission::retry_after(duration time_left)
{
    double const spread =
        std::chrono::duration<double>(options_.longest_return - options_.shortest_return).count();
    duration const wanted =
        options_.shortest_return + std::chrono::duration_cast<duration>(
                                       std::chrono::duration<double>(spread * random_.unit()));
    return std::min(wanted, scaled(time_left, longest_return_part));
}

} // namespace burdockstep
