#include "libraries/requests/windowed_retry_budget.hpp"

#include <algorithm>

namespace burdockstep {

windowed_retry_budget::slice& windowed_retry_budget::current(time_point now, duration window)
{
    std::int64_t const number = now.time_since_epoch() / (window / slices_per_window);
    slice& found = slices_[static_cast<std::size_t>(number) % slices_.size()];
    if (found.number != number)
        found = {.number = number};
    return found;
}

void windowed_retry_budget::note_request(time_point now, duration window)
{
    ++current(now, window).requests;
}

bool windowed_retry_budget::try_spend(retry_terms const& terms, time_point now)
{
    slice& newest = current(now, terms.window);
    double requests = 0;
    double retries = 0;
    for (slice const& each : slices_) {
        if (each.number <= newest.number - static_cast<std::int64_t>(slices_per_window))
            continue;
        requests += each.requests;
        retries += each.retries;
    }
    double const own_fixed =
        terms.fixed / static_cast<double>(std::max<std::size_t>(terms.entries, 1));
    double const allowed = terms.used_part * (terms.per_request * requests + own_fixed);
    if (retries + 1 > allowed)
        return false;
    ++newest.retries;
    return true;
}

} // namespace burdockstep
