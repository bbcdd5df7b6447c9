/// Whether a request waits for a slot or is refused, and when its caller should come back.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"

#include <optional>

namespace burdockstep {

/// Limits of admission. They answer a load at which more work arrives than slots are free: a
/// request that waits too long is late for its caller and takes the slot of one that isn't.
struct admission_options
{
    /// Time that an answer needs back to its caller.
    duration caller_delay = std::chrono::milliseconds(6);
    /// Part of the latency objective for which a request is held when it can't be in time anyway.
    double hopeless_hold_part = 0.1;
    /// Longest hold, as a part of the latency objective.
    double longest_hold_part = 0.6;
    /// Range of the time after which a refused caller should return: within it a slot is likely.
    duration shortest_return = std::chrono::milliseconds(30);
    duration longest_return = std::chrono::milliseconds(90);
};

/// What a request needs, for the decision.
struct admission_case
{
    duration elapsed{};       ///< Since its arrival.
    duration time_left{};     ///< Until its limit.
    duration objective{};     ///< Its latency objective.
    duration expected_work{}; ///< At an upstream, with the way there.
    double requests_ahead = 0;
    double slots_per_s = 0; ///< Slots that become free a second for this entry.
};

/// Typical time of service, from the ends that were seen. It follows the median, so that a few
/// long requests don't move it.
class work_estimate
{
public:
    void note(duration seen);
    duration typical() const { return typical_; }

private:
    duration typical_{};
};

/// Decides on holding and refusing.
class admission
{
public:
    admission(admission_options options, random_source& random) : options_(options), random_(random)
    {}

    /// How much longer the request may wait for a slot; nothing: refuse it now.
    std::optional<duration> hold_for(admission_case const& which) const;
    /// When a refused caller should come back.
    duration retry_after(duration time_left);

private:
    admission_options options_;
    random_source& random_;
};

} // namespace burdockstep
