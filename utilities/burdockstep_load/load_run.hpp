/// An open-loop run: requests start at planned times, whatever became of the earlier ones.
#pragma once

#include "utilities/burdockstep_load/caller.hpp"

#include "libraries/metrics/latency_histogram.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace burdockstep {

/// Part of a service in the mix; the shares are relative to their sum.
struct service_share
{
    service_name service;
    double share = 1;
};

/// Options of a run.
struct load_options
{
    std::vector<address> instances;
    std::vector<service_share> service_mix;
    std::vector<region_name> caller_regions; ///< Callers are spread evenly over these.
    double requests_per_second = 100;        ///< Requests a second, exponential gaps.
    std::uint64_t call_count = 1000;
    std::uint64_t seed = 1;
    unsigned max_retries = 3;
};

/// Counts of one service.
struct service_results
{
    latency_histogram latency; ///< Of answered requests.
    std::array<std::uint64_t, 5> outcome_counts{};
    std::uint64_t bytes = 0;
    std::uint64_t sends = 0;

    std::uint64_t count(caller_outcome outcome) const
    {
        return outcome_counts[static_cast<std::size_t>(outcome)];
    }
};

/// Plans and starts the requests and collects the results.
class load_run
{
public:
    load_run(event_loop& loop, clock_source const& clock, load_options options);

    /// Starts the run; `on_finished` is called when the last request has ended.
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
