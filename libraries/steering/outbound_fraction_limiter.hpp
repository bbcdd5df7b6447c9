/// Keeps the part of the requests that leaves the region from changing too fast, either way.
#pragma once

#include "libraries/core/clock.hpp"

#include <array>
#include <cstdint>

namespace burdockstep {

/// Bounds of one entry's shifts.
struct outbound_fraction_limiter_options
{
    /// Largest change of the part between two windows that follow each other.
    double max_change_per_window = 0.10;
    /// Length of a window: a multiple of ten slices.
    duration window = std::chrono::seconds(2);
};

/// What a request may do.
enum class outbound_verdict
{
    unrestricted, ///< Stay or leave.
    must_stay,    ///< Leaving would raise the part too fast.
    must_leave    ///< Staying would lower it too fast.
};

/// Bounds the part of the last window by a ceiling and a floor that follow it slowly: a step away
/// from the part, and a slope, which together stay under the bound from one window to the next. As
/// each entry keeps the bound for its own requests, it holds for the sum over the entries of a
/// region.
class outbound_fraction_limiter
{
public:
    explicit outbound_fraction_limiter(outbound_fraction_limiter_options options)
        : options_(options)
    {}

    /// Lets the part be up to this from the first request on: there is none before it that it
    /// could differ from. It is held for a window, until the part can be seen.
    void begin(double fraction, time_point now);
    outbound_verdict check_next_request(time_point now);
    void note(bool left_region, time_point now);

private:
    static constexpr std::size_t slices_per_window = 20;

    struct slice
    {
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned outbound = 0;
    };

    struct window_totals
    {
        unsigned requests = 0;
        unsigned outbound = 0;

        double fraction() const;
    };

    std::int64_t slice_number(time_point now) const;
    window_totals totals_of_last_window(std::int64_t current_slice) const;
    void update_bounds(std::int64_t current_slice);

    outbound_fraction_limiter_options options_;
    std::array<slice, slices_per_window> slices_{};
    std::int64_t bounds_slice_ = -1; ///< Slice for which the bounds hold.
    double ceiling_ = 0;
    double floor_ = 0;
    double initial_fraction_ = 0;
    std::int64_t initial_hold_end_slice_ = 0; ///< Slice from which on the part can be seen.
};

} // namespace burdockstep
