/// Bounds further sends within a sliding window, as this entry's part of a bound that all share.
#pragma once

#include "libraries/core/clock.hpp"

#include <array>
#include <cstdint>

namespace burdockstep {

/// The bound over all entries, and this entry's part of its fixed part.
struct retry_limits
{
    double max_retry_ratio = 0.2; ///< Further sends allowed for each request.
    double fixed_retries = 0;     ///< Further sends allowed besides, over all entries.
    duration window = std::chrono::seconds(10);
    std::size_t entries = 1; ///< Entries that share the fixed part.
    /// Part of the allowance that is used: requests are counted in windows that others cut
    /// otherwise, and entries may see each other late.
    double used_fraction = 0.7;
};

/// Counts requests and further sends of one service.
class windowed_retry_budget
{
public:
    void record_request(time_point now, duration window);
    /// Counts one further send, or returns false when the window's allowance is used up.
    bool try_spend(retry_limits const& limits, time_point now);

private:
    static constexpr std::size_t slices_per_window = 20;

    struct slice
    {
        std::int64_t index = -1;
        unsigned requests = 0;
        unsigned retries = 0;
    };

    slice& current_slice(time_point now, duration window);

    std::array<slice, slices_per_window> slices_{};
};

} // namespace burdockstep
