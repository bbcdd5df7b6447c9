/// Monotonic time. Decision classes are passed time points; tasks read them from a `clock_source`,
/// so that tests control the time.
#pragma once

#include <chrono>
#include <ctime>

namespace burdockstep {

/// Clock type for `std::chrono`. Its epoch is arbitrary; tests choose their own.
struct monotonic
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic, duration>;
    static constexpr bool is_steady = true;
};

using duration = monotonic::duration;
using time_point = monotonic::time_point;

/// Source of monotonic time.
class clock_source
{
public:
    virtual ~clock_source() = default;
    /// The current time.
    virtual time_point now() const = 0;
};

/// The time since the machine's boot. It also advances while the process is stopped and, unlike
/// `std::chrono::steady_clock`, while the machine is suspended. Otherwise what was known before
/// would seem newer than it is.
class system_clock_source final : public clock_source
{
public:
    time_point now() const override
    {
        timespec since_boot{};
        clock_gettime(CLOCK_BOOTTIME, &since_boot);
        return time_point(
            std::chrono::duration_cast<duration>(std::chrono::seconds(since_boot.tv_sec) +
                                                 std::chrono::nanoseconds(since_boot.tv_nsec)));
    }
};

} // namespace burdockstep
