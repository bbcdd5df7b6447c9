/// Limits how fast the fraction of requests sent to other regions rises and falls.
#pragma once

#include "libraries/core/clock.hpp"

#include <array>
#include <cstdint>

namespace burdockstep {

/// Options for one entry's limiter.
struct outbound_fraction_limiter_options
{
    /// Limit on the change of the outbound fraction between two consecutive windows.
    double max_change_per_window = 0.10;
    /// Length of the sliding window, which is divided into `slices_per_window` slices.
    duration window = std::chrono::seconds(2);
};

/// Where the next request may be served.
enum class outbound_verdict
{
    unrestricted, ///< In its own region or in another one.
    must_stay,    ///< Sending it to another region would raise the outbound fraction too fast.
    must_leave    ///< Serving it in its own region would lower the outbound fraction too fast.
};

/// Keeps the outbound fraction, that is, the fraction of the last window's requests that was sent
/// to other regions, between a ceiling and a floor. Both stay within a margin of the fraction, and
/// move away from it at a limited speed; margin and speed are derived from `max_change_per_window`.
/// Each entry limits its own requests, so the limit also holds for the sum over a region's entries.
class outbound_fraction_limiter
{
public:
    explicit outbound_fraction_limiter(outbound_fraction_limiter_options options)
        : options_(options)
    {}

    /// Allows an outbound fraction of up to `fraction` from the first request on, because there is
    /// no earlier traffic that it could differ from. The ceiling stays at least this high for one
    /// window, until the outbound fraction can be measured.
    void begin(double fraction, time_point now);
    /// Returns where the next request may be served. Doesn't count the request.
    outbound_verdict check_next_request(time_point now);
    /// Counts a request, and whether it was sent to another region.
    void note(bool left_region, time_point now);

private:
    static constexpr std::size_t slices_per_window = 20;

    /// Counters of one slice of the sliding window.
    struct slice
    {
        std::int64_t number = -1; ///< Result of `slice_number`; -1 if unused.
        unsigned requests = 0;
        unsigned outbound = 0; ///< Requests sent to other regions.
    };

    /// Sums over the slices of the last window.
    struct window_totals
    {
        unsigned requests = 0;
        unsigned outbound = 0; ///< Requests sent to other regions.

        /// The outbound fraction.
        double fraction() const;
    };

    /// Number of the slice that contains this time, counted from the epoch of the clock.
    std::int64_t slice_number(time_point now) const;
    /// Sums over the window that ends with the current slice.
    window_totals totals_of_last_window(std::int64_t current_slice) const;
    /// Moves the ceiling and the floor once per slice.
    void update_bounds(std::int64_t current_slice);

    outbound_fraction_limiter_options options_;
    std::array<slice, slices_per_window> slices_{};
    std::int64_t bounds_slice_ = -1; ///< Slice of the last update; -1 if there was none.
    double ceiling_ = 0;             ///< Upper bound of the outbound fraction.
    double floor_ = 0;               ///< Lower bound of the outbound fraction.
    double initial_fraction_ = 0;    ///< Minimum of the ceiling during the window after `begin`.
    /// First slice in which `initial_fraction_` no longer raises the ceiling.
    std::int64_t initial_hold_end_slice_ = 0;
};

} // namespace burdockstep
