#include "libraries/steering/region_share.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Parts of the bound on a change that a bound may be off the part, and move in one window.
constexpr double step_part = 0.3;
constexpr double slope_part = 0.8;
/// With fewer requests a single one would look like a large part.
constexpr unsigned least_requests = 20;

} // namespace

double region_share::window_sum::part() const
{
    return static_cast<double>(left) / static_cast<double>(std::max(requests, least_requests));
}

std::int64_t region_share::slice_number(time_point now) const
{
    return now.time_since_epoch() / (options_.window / slices_per_window);
}

region_share::window_sum region_share::last_window(std::int64_t newest) const
{
    window_sum total;
    for (slice const& each : slices_) {
        if (each.number <= newest - static_cast<std::int64_t>(slices_per_window))
            continue;
        total.requests += each.requests;
        total.left += each.left;
    }
    return total;
}

void region_share::move_bounds(std::int64_t newest)
{
    if (newest == bounds_moved_)
        return;
    std::int64_t const passed =
        bounds_moved_ < 0 ? 1 : std::min<std::int64_t>(newest - bounds_moved_, slices_per_window);
    bounds_moved_ = newest;
    double const part = last_window(newest).part();
    double const step = step_part * options_.most_change;
    double const slope =
        slope_part * options_.most_change / slices_per_window * static_cast<double>(passed);
    ceiling_ = std::min({1.0, ceiling_ + slope, part + step});
    floor_ = std::max({0.0, floor_ - slope, part - step});
    if (newest < begun_until_)
        ceiling_ = std::max(ceiling_, begun_part_);
}

void region_share::begin(double part, time_point now)
{
    begun_part_ = part;
    begun_until_ = slice_number(now) + static_cast<std::int64_t>(slices_per_window);
}

share_verdict region_share::judge(time_point now)
{
    std::int64_t const newest = slice_number(now);
    move_bounds(newest);
    window_sum last = last_window(newest);
    ++last.requests;
    if (last.part() < floor_)
        return share_verdict::must_leave;
    ++last.left;
    if (last.part() > ceiling_)
        return share_verdict::must_stay;
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
