/// Limits retries within a sliding window to this entry's share of a limit for all entries.
#pragma once

#include "libraries/core/clock.hpp"

#include <array>
#include <cstdint>

namespace burdockstep {

/// The retry limit for all entries together, from which the share of one entry is computed.
struct retry_limits
{
    double max_retry_ratio = 0.2; ///< Retries allowed per request.
    double fixed_retries = 0;     ///< Retries allowed in addition, for all entries together.
    /// Length of the sliding window.
    duration window = std::chrono::seconds(10);
    std::size_t entries = 1; ///< Number of entries that share `fixed_retries`.
    /// Fraction of the allowance that is used. The margin covers observers whose windows start at
    /// other times, and entries that learn late how many entries share `fixed_retries`.
    double used_fraction = 0.7;
};

/// Counts the requests and retries of one service within a sliding window.
class windowed_retry_budget
{
public:
    /// Counts one request, which raises the allowance of the window.
    void record_request(time_point now, duration window);
    /// Counts one retry, or returns false when the allowance of the window is used up.
    bool try_spend(retry_limits const& limits, time_point now);

private:
    static constexpr std::size_t slices_per_window = 20;

    struct slice
    {
        /// Position on the time axis, in slices since the clock's epoch; -1 when unused.
        std::int64_t index = -1;
        unsigned requests = 0;
        unsigned retries = 0;
    };

    /// The slice that contains `now`, cleared when it last counted an earlier window.
    slice& current_slice(time_point now, duration window);

    std::array<slice, slices_per_window> slices_{};
};

} // namespace burdockstep
