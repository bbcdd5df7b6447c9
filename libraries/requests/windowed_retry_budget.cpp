#include "libraries/requests/windowed_retry_budget.hpp"

#include <algorithm>

namespace burdockstep {

windowed_retry_budget::slice& windowed_retry_budget::current_slice(time_point now, duration window)
{
    std::int64_t const index = now.time_since_epoch() / (window / slices_per_window);
    slice& indexed_slice = slices_[static_cast<std::size_t>(index) % slices_.size()];
    if (indexed_slice.index != index)
        indexed_slice = {.index = index};
    return indexed_slice;
}

void windowed_retry_budget::record_request(time_point now, duration window)
{
    ++current_slice(now, window).requests;
}

bool windowed_retry_budget::try_spend(retry_limits const& limits, time_point now)
{
    slice& latest = current_slice(now, limits.window);
    double requests = 0;
    double retries = 0;
    for (slice const& each : slices_) {
        if (each.index <= latest.index - static_cast<std::int64_t>(slices_per_window))
            continue;
        requests += each.requests;
        retries += each.retries;
    }
    double const fixed_retries_share =
        limits.fixed_retries / static_cast<double>(std::max<std::size_t>(limits.entries, 1));
    double const allowed_retries =
        limits.used_fraction * (limits.max_retry_ratio * requests + fixed_retries_share);
    if (retries + 1 > allowed_retries)
        return false;
    ++latest.retries;
    return true;
}

} // namespace burdockstep
