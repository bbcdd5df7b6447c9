/// Open-loop load generator: each request starts at its planned time, whether or not the earlier
/// requests have ended.
#pragma once

#include "utilities/burdockstep_load/caller.hpp"

#include "libraries/metrics/latency_histogram.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace burdockstep {

/// Share of the requests that go to one service, relative to the sum of all shares.
struct service_share
{
    service_name service;
    double share = 1;
};

/// Options of a load run.
struct load_options
{
    std::vector<address> instances;
    std::vector<service_share> service_mix;
    std::vector<region_name> caller_regions; ///< Each request takes one of these at random.
    double requests_per_second = 100; ///< Mean rate; the gaps between requests are exponential.
    std::uint64_t call_count = 1000;
    std::uint64_t seed = 1;
    unsigned max_retries = 3;
};

/// Results of one service.
struct service_results
{
    latency_histogram latency; ///< Answered requests only.
    std::array<std::uint64_t, 5> outcome_counts{};
    std::uint64_t bytes = 0;
    std::uint64_t sends = 0;

    std::uint64_t count(caller_outcome outcome) const
    {
        return outcome_counts[static_cast<std::size_t>(outcome)];
    }
};

/// Schedules and starts the requests, and collects their results by service.
class load_run
{
public:
    load_run(event_loop& loop, clock_source const& clock, load_options options);

    /// Starts the run. `on_finished` is called once, when all requests have ended.
    void start(std::function<void()> on_finished);
    std::map<service_name, service_results> const& results() const { return results_; }
    duration elapsed() const { return run_end_ - run_start_; }

private:
    void schedule_first_call();
    duration draw_interarrival_time();
    void start_due_calls();
    void start_call(time_point planned_start);
    service_name const& draw_service();

    event_loop& loop_;
    clock_source const& clock_;
    load_options options_;
    random_source random_;
    http_client client_;
    lookup_cache lookups_;
    timer next_call_timer_;
    std::function<void()> on_finished_;
    std::map<service_name, service_results> results_;
    std::uint64_t started_calls_ = 0;
    std::uint64_t finished_calls_ = 0;
    time_point next_call_start_;
    time_point run_start_;
    time_point run_end_;
};

} // namespace burdockstep
