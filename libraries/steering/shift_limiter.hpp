/// Keeps a shift of traffic under its cap, without asking anybody.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <cstdint>

namespace burdockstep {

/// Cap of one service, from the document.
struct shift_limits
{
    percent cap;         ///< Largest part of the traffic that one step may move.
    duration interval{}; ///< Shortest length of a step.
};

/// Decides for the traffic that one entry sees of one service. In each step the moved part is at
/// most what was moved in the step before plus the cap. As every entry bounds the part of its own
/// traffic, the sum over any set of entries is bounded by the same part of their sum: no plan,
/// lease or store is needed, and two entries that both act can't pass the cap together.
class shift_limiter
{
public:
    shift_limiter(shift_limits limits, time_point now);

    void set_limits(shift_limits limits) { limits_ = limits; }
    /// Counts a request that this entry decides on. Call it before `try_shift` for that request.
    void note_arrival(time_point now);
    /// Counts a request that another entry's decision has moved here: should its callers come
    /// straight here, they are no further shift.
    void note_shifted_by_other_entry() { ++shifted_by_other_entries_; }
    /// Counts one moved request, or returns false when the cap forbids it in this step.
    bool try_shift();

    /// Part of the traffic that may be moved in this step, 0 to 1.
    double shifted_fraction_limit() const;
    /// Part that was moved in the last whole step.
    double last_shifted_fraction() const { return last_shifted_fraction_; }

private:
    std::uint64_t min_step_arrivals() const;
    void finish_step(time_point now);

    shift_limits limits_;
    time_point step_start_;
    double last_shifted_fraction_ = 0;
    std::uint64_t last_step_arrivals_ = 0;
    std::uint64_t step_arrivals_ = 0;
    std::uint64_t shifted_requests_ = 0;
    std::uint64_t shifted_by_other_entries_ = 0;
};

} // namespace burdockstep
