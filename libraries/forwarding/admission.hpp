/// Admission control: holds a request until a slot is free or refuses it with a time to retry.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"

#include <optional>

namespace burdockstep {

/// Limits of admission control. They matter under overload, when more work arrives than the slots
/// can serve: a request that is held too long is answered too late for its caller, and takes a
/// slot from another request that could still be answered in time.
struct admission_options
{
    /// Time that an answer takes from this entry to the caller.
    duration answer_transit_time = std::chrono::milliseconds(6);
    /// A request that can no longer meet its latency objective is held until this fraction of the
    /// objective has passed since its arrival.
    double late_request_hold_fraction = 0.1;
    /// No request is held beyond this fraction of its latency objective, counted from its arrival.
    double max_hold_fraction = 0.6;
    /// Range from which the retry delay of a refused caller is drawn. A slot is likely to become
    /// free within this time.
    duration min_retry_delay = std::chrono::milliseconds(30);
    duration max_retry_delay = std::chrono::milliseconds(90);
};

/// What the decision about one request depends on.
struct admission_inputs
{
    duration elapsed{};               ///< Time since the request arrived.
    duration time_left{};             ///< Time until the request's deadline.
    duration target_latency{};        ///< The latency objective of the request's route.
    duration expected_service_time{}; ///< Expected time that an upstream takes to answer it.
    double requests_ahead = 0;        ///< Waiting requests that are at least as urgent.
    double slots_freed_per_s = 0;     ///< This entry's share of the slots freed per second.
};

/// Estimates the median service time from the requests that have been answered. A median is used
/// so that a few long requests don't shift the estimate.
class service_time_estimate
{
public:
    void add_sample(duration sample);
    duration median() const { return median_; }

private:
    duration median_{};
};

/// Decides for how long a request may be held, and when a refused caller should retry.
class admission
{
public:
    admission(admission_options options, random_source& random) : options_(options), random_(random)
    {}

    /// How much longer the request may wait for a slot, or nothing if it must be refused now.
    std::optional<duration> allowed_hold_time(admission_inputs const& inputs) const;
    /// Time after which a refused caller should retry: drawn at random from the configured range
    /// that begins when upstreams accept requests, in `until_accepted`, but at most a fixed
    /// fraction of `time_left`.
    duration retry_after(duration until_accepted, duration time_left);

private:
    admission_options options_;
    random_source& random_;
};

} // namespace burdockstep
