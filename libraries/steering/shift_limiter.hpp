/// Limits how fast one entry shifts a service's traffic, without coordination between entries.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <cstdint>

namespace burdockstep {

/// Limits of one service, from the deployment document.
struct shift_limits
{
    percent cap;         ///< Largest increase of the shifted fraction from one step to the next.
    duration interval{}; ///< Minimum length of a step.
};

/// Limits how many requests of one service may be shifted between regions, in one direction, among
/// those that one entry handles. Time is divided into steps. In each step, the fraction of requests
/// that is shifted may exceed that of the previous step by at most the cap. Each entry limits the
/// fraction of its own traffic, so the same limit holds for the total traffic of any set of
/// entries: no shared plan, lease or store is needed, and entries that shift traffic at the same
/// time can't exceed the cap together.
class shift_limiter
{
public:
    shift_limiter(shift_limits limits, time_point now);

    void set_limits(shift_limits limits) { limits_ = limits; }
    /// Counts a request for which this entry decides. Call it before `try_shift` for that request.
    void note_arrival(time_point now);
    /// Counts a request that another entry has shifted to this region. It is part of the shifted
    /// fraction, so if its callers start to call this region directly, that isn't a further shift.
    void note_shifted_by_other_entry() { ++shifted_by_other_entries_; }
    /// Counts a request that was refused although it could be shifted, because the other regions
    /// had no room. It isn't served here, so it doesn't lower the shifted fraction.
    void note_refused() { ++refused_requests_; }
    /// Counts one shifted request, or returns false if this step's limit is reached.
    bool try_shift();

    /// Largest fraction of the requests that may be shifted in this step, 0 to 1.
    double shifted_fraction_limit() const;
    /// Fraction of the requests that was shifted in the last complete step, 0 to 1.
    double last_shifted_fraction() const { return last_shifted_fraction_; }

private:
    /// Number of arrivals that a step needs before it can end.
    std::uint64_t min_step_arrivals() const;
    /// Ends the current step, which is a period of at least `shift_limits::interval`: records the
    /// fraction of its requests that was shifted between regions, and starts the next step.
    void finish_step(time_point now);

    shift_limits limits_;
    time_point step_start_;
    double last_shifted_fraction_ = 0;
    std::uint64_t last_step_arrivals_ = 0;
    std::uint64_t step_arrivals_ = 0;
    /// Number of requests that this entry has shifted between regions since the current step began.
    std::uint64_t shifted_requests_ = 0;
    std::uint64_t shifted_by_other_entries_ = 0; ///< Received in the current step.
    std::uint64_t refused_requests_ = 0;         ///< Not shifted for lack of room in this step.
};

} // namespace burdockstep
