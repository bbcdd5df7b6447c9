#include "libraries/steering/region_share.hpp"

#include <algorithm>

namespace burdockstep {

std::int64_t region_share::slice_number(time_point now) const
{
    return now.time_since_epoch() / (options_.window / slices_per_window);
}

region_share::window_sum region_share::sum(std::int64_t newest) const
{
    window_sum total;
    for (slice const& each : slices_) {
        bool const inside = each.number <= newest &&
                            each.number > newest - static_cast<std::int64_t>(slices_per_window);
        if (!inside)
            continue;
        total.requests += each.requests;
        total.left += each.left;
    }
    return total;
}

share_verdict region_share::judge(time_point now)
{
    std::int64_t const newest = slice_number(now);
    window_sum const last = sum(newest);
    window_sum const before = sum(newest - static_cast<std::int64_t>(slices_per_window));
    double const share_before = before.requests == 0 ? 0.0
                                                     : static_cast<double>(before.left) /
                                                           static_cast<double>(before.requests);
    auto const requests = static_cast<double>(last.requests + 1);
    auto const left = static_cast<double>(last.left);
    // Early in a window few requests make large parts: one of them may always leave.
    if (left + 1 > (share_before + options_.most_change) * std::max(requests, 10.0))
        return share_verdict::must_stay;
    if (left < (share_before - options_.most_change) * requests)
        return share_verdict::must_leave;
    return share_verdict::free;
}

void region_share::note(bool left_region, time_point now)
{
    std::int64_t const number = slice_number(now);
    slice& current = slices_[static_cast<std::size_t>(number) % slices_.size()];
    if (current.number != number)
        current = {.number = number};
    ++current.requests;
    current.left += left_region ? 1 : 0;
}

} // namespace burdockstep
