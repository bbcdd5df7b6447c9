#include "libraries/steering/outbound_fraction_limiter.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Largest distance of the ceiling and the floor from the current outbound fraction, as a multiple
/// of `max_change_per_window`.
constexpr double bound_margin_ratio = 0.3;
/// Largest movement of the ceiling upwards and of the floor downwards within one window, as a
/// multiple of `max_change_per_window`.
constexpr double bound_speed_ratio = 0.8;
/// Smallest divisor for the outbound fraction: if a window has fewer requests, the fraction is
/// computed as if it had this many. Otherwise a single request would look like a large fraction.
constexpr unsigned min_window_requests = 20;

} // namespace

double outbound_fraction_limiter::window_totals::fraction() const
{
    return static_cast<double>(outbound) /
           static_cast<double>(std::max(requests, min_window_requests));
}

std::int64_t outbound_fraction_limiter::slice_number(time_point now) const
{
    return now.time_since_epoch() / (options_.window / slices_per_window);
}

outbound_fraction_limiter::window_totals
outbound_fraction_limiter::totals_of_last_window(std::int64_t current_slice) const
{
    window_totals totals;
    for (slice const& each : slices_) {
        if (each.number <= current_slice - static_cast<std::int64_t>(slices_per_window))
            continue;
        totals.requests += each.requests;
        totals.outbound += each.outbound;
    }
    return totals;
}

void outbound_fraction_limiter::update_bounds(std::int64_t current_slice)
{
    if (current_slice == bounds_slice_)
        return;
    std::int64_t const elapsed_slices =
        bounds_slice_ < 0
            ? 1
            : std::min<std::int64_t>(current_slice - bounds_slice_, slices_per_window);
    bounds_slice_ = current_slice;
    double const fraction = totals_of_last_window(current_slice).fraction();
    double const margin = bound_margin_ratio * options_.max_change_per_window;
    double const max_bound_move = bound_speed_ratio * options_.max_change_per_window /
                                  slices_per_window * static_cast<double>(elapsed_slices);
    ceiling_ = std::min({1.0, ceiling_ + max_bound_move, fraction + margin});
    floor_ = std::max({0.0, floor_ - max_bound_move, fraction - margin});
    if (current_slice < initial_hold_end_slice_)
        ceiling_ = std::max(ceiling_, initial_fraction_);
}

void outbound_fraction_limiter::begin(double fraction, time_point now)
{
    initial_fraction_ = fraction;
    initial_hold_end_slice_ = slice_number(now) + static_cast<std::int64_t>(slices_per_window);
}

outbound_verdict outbound_fraction_limiter::check_next_request(time_point now)
{
    std::int64_t const current_slice = slice_number(now);
    update_bounds(current_slice);
    window_totals with_next = totals_of_last_window(current_slice);
    ++with_next.requests;
    if (with_next.fraction() < floor_)
        return outbound_verdict::must_leave;
    ++with_next.outbound;
    if (with_next.fraction() > ceiling_)
        return outbound_verdict::must_stay;
    return outbound_verdict::unrestricted;
}

void outbound_fraction_limiter::note(bool left_region, time_point now)
{
    std::int64_t const number = slice_number(now);
    slice& recorded_slice = slices_[static_cast<std::size_t>(number) % slices_.size()];
    if (recorded_slice.number != number)
        recorded_slice = {.number = number};
    ++recorded_slice.requests;
    recorded_slice.outbound += left_region ? 1 : 0;
}

} // namespace burdockstep
