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
    duration answer_transit_time = std::chrono::milliseconds(6);
    /// Part of the latency objective for which a request is held when it can't be in time anyway.
    double late_request_hold_fraction = 0.1;
    /// Longest hold, as a part of the latency objective.
    double max_hold_fraction = 0.6;
    /// Range of the time after which a refused caller should return: within it a slot is likely.
    duration min_retry_delay = std::chrono::milliseconds(30);
    duration max_retry_delay = std::chrono::milliseconds(90);
};

/// What a request needs, for the decision.
struct admission_inputs
{
    duration elapsed{};               ///< Since its arrival.
    duration time_left{};             ///< Until its limit.
    duration target_latency{};        ///< Its latency objective.
    duration expected_service_time{}; ///< At an upstream, with the way there.
    double requests_ahead = 0;
    double slots_freed_per_s = 0; ///< Slots that become free a second for this entry.
};

/// Typical time of service, from the ends that were seen. It follows the median, so that a few
/// long requests don't move it.
class service_time_estimate
{
public:
    void add_sample(duration sample);
    duration median() const { return median_; }

private:
    duration median_{};
};

/// Decides on holding and refusing.
class admission
{
public:
    admission(admission_options options, random_source& random) : options_(options), random_(random)
    {}

    /// How much longer the request may wait for a slot; nothing: refuse it now.
    std::optional<duration> allowed_hold_time(admission_inputs const& inputs) const;
    /// When a refused caller should come back.
    duration retry_after(duration time_left);

private:
    admission_options options_;
    random_source& random_;
};

} // namespace burdockstep
