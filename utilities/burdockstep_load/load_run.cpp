#include "utilities/burdockstep_load/load_run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace burdockstep {

load_run::load_run(event_loop& loop, clock_source const& clock, load_options options)
    : loop_(loop), clock_(clock), options_(std::move(options)), random_(options_.seed),
      client_(loop), lookups_(client_, clock, options_.instances), next_call_timer_(loop)
{}

void load_run::start(std::function<void()> on_finished)
{
    on_finished_ = std::move(on_finished);
    run_start_ = clock_.now();
    next_call_start_ = run_start_;
    schedule_first_call();
}

duration load_run::draw_interarrival_time()
{
    constexpr double microseconds_per_second = 1e6;
    return duration(static_cast<std::int64_t>(
        random_.exponential(microseconds_per_second / options_.requests_per_second)));
}

void load_run::schedule_first_call()
{
    next_call_start_ += draw_interarrival_time();
    duration const first_call_delay = next_call_start_ - clock_.now();
    next_call_timer_.start_once(std::max(first_call_delay, duration::zero()),
                                [this] { start_due_calls(); });
}

void load_run::start_due_calls()
{
    // The timer has millisecond resolution, so several requests may be due at once.
    time_point const now = clock_.now();
    while (started_calls_ < options_.call_count && next_call_start_ <= now) {
        start_call(next_call_start_);
        next_call_start_ += draw_interarrival_time();
    }
    if (started_calls_ == options_.call_count)
        return;
    next_call_timer_.start_once(std::max(next_call_start_ - clock_.now(), duration(1)),
                                [this] { start_due_calls(); });
}

service_name const& load_run::draw_service()
{
    double total_share = 0;
    for (service_share const& each : options_.service_mix)
        total_share += each.share;
    double remaining_share = random_.uniform_fraction() * total_share;
    for (service_share const& each : options_.service_mix) {
        remaining_share -= each.share;
        if (remaining_share < 0)
            return each.service;
    }
    return options_.service_mix.back().service;
}

void load_run::start_call(time_point planned_start)
{
    std::uint64_t const sequence_number = ++started_calls_;
    caller_request request;
    // The upstream stand-ins report requests with the prefix "once-" that run more than once,
    // those of idempotent services separately.
    request.id = fmt::format("once-{:x}-{}", options_.seed, sequence_number);
    request.service = draw_service();
    if (!options_.caller_regions.empty())
        request.region = options_.caller_regions[random_.below(options_.caller_regions.size())];
    request.body = "work " + request.id;
    request.planned_start = planned_start;
    request.max_retries = options_.max_retries;
    caller::start(std::move(request), client_, lookups_, loop_, clock_,
                  [this](caller_result const& result) {
                      service_results& totals = results_[result.service];
                      ++totals.outcome_counts[static_cast<std::size_t>(result.outcome)];
                      totals.bytes += result.bytes;
                      totals.sends += result.sends;
                      if (result.outcome == caller_outcome::answered)
                          totals.latency.add(result.latency);
                      if (++finished_calls_ < options_.call_count)
                          return;
                      run_end_ = clock_.now();
                      on_finished_();
                  });
}

} // namespace burdockstep
