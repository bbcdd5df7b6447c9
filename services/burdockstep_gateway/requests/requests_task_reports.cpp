// Requests task: log lines and metrics.
#include "services/burdockstep_gateway/requests/requests_task.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// At most this many requests that are cut by the end of the process get a line in the log.
constexpr std::size_t max_logged_cut_requests = 20;

} // namespace

void requests_task::log_key_use()
{
    time_point const now = context_.clock.now();
    bool const acts_on_keys = !identifies_callers_ || engine_.acts_on_keys(now);
    if (acts_on_keys == std::exchange(acts_on_keys_, acts_on_keys))
        return;
    if (acts_on_keys) {
        log_.info("requests with keys are taken again");
        return;
    }
    log_.warning(
        "requests with keys are refused: how new the known keys are isn't proven",
        {field("has_proof", keys_confirmed_at_.has_value()),
         field("proof_age_us", keys_confirmed_at_ ? (now - *keys_confirmed_at_).count() : 0)});
}

void requests_task::log_unanswered(request_id id, time_point arrived_at, http1::connection_end end)
{
    auto const found = exchanges_.find(id);
    if (found == exchanges_.end())
        return;
    log_.info("request left unanswered",
              {field("request", dialect_.answer_id(found->second->request().head).value),
               field("number", id.get()), field("connection", name_of(end)),
               field("at_upstream", active_sends_.contains(id)),
               field("total_us", (context_.clock.now() - arrived_at).count())});
}

void requests_task::log_request_end(request_id id, std::string_view outcome, int status)
{
    request_summary const& summary = engine_.last_finished();
    log_.info("request ended",
              {field("request", summary.caller_id), field("number", id.get()),
               field("outcome", outcome), field("status", status), field("route", summary.route),
               field("service", summary.service.get()), field("upstream", summary.upstream.get()),
               field("sends", summary.sends), field("held_us", summary.hold_time.count()),
               field("total_us", summary.total_time.count()),
               field("configuration", summary.version.get())});
}

void requests_task::log_pace_changes()
{
    for (upstream_pace_change const& each : engine_.take_pace_changes())
        log_.info("upstream's pace changed",
                  {field("upstream", each.upstream.get()),
                   field("state", name_of(each.change.state)), field("limit", each.change.limit),
                   field("why", name_of(each.change.reason))});
}

void requests_task::log_cut_requests()
{
    auto const requests =
        engine_.oldest_requests_under_way(max_logged_cut_requests, context_.clock.now());
    for (request_under_way const& each : requests) {
        log_.warning("request is ended by the end of the process",
                     {field("request", each.caller_id), field("number", each.id.get()),
                      field("stage", each.at_upstream ? "at-upstream" : "waiting"),
                      field("route", each.route), field("upstream", each.upstream.get()),
                      field("age_us", each.age.count()),
                      field("time_left_us", each.time_left.count())});
    }
    if (std::size_t const unsent_bytes = caller_server_.unsent_bytes(); unsent_bytes > 0)
        log_.warning("answers are not sent yet at the end of the process",
                     {field("bytes", unsent_bytes)});
}

void requests_task::write_metrics(std::string& out) const
{
    forwarding_counters const& counters = engine_.counters();
    auto const write_metric = [&](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(out), "burdockstep_{} {}\n", name, value);
    };
    write_metric("requests_arrived_total", counters.arrived);
    write_metric("requests_answered_total", counters.answered);
    write_metric("requests_refused_total", counters.refused);
    write_metric("requests_failed_total", counters.failed);
    write_metric("sends_total", counters.sends);
    write_metric("further_sends_total", counters.further_sends);
    write_metric("further_sends_denied_total", counters.retries_denied);
    write_metric("requests_left_region_total", counters.left_region);
    write_metric("callers_gone_total", counters.callers_gone);
    write_metric("probes_total", counters.probes);
    write_metric("upstreams_leaving_by_own_answer_total", counters.leaving_notices);
    write_metric("pauses_requested_by_upstreams_total", counters.pause_notices);
    write_metric("sends_of_recent_objects_total", counters.sends_of_recent_objects);
    for (std::size_t i = 0; i < counters.send_ends.size(); ++i)
        write_metric(
            fmt::format("send_ends_total{{result=\"{}\"}}", name_of(static_cast<send_result>(i))),
            counters.send_ends[i]);
    for (std::size_t i = 0; i < counters.refusals.size(); ++i)
        write_metric(
            fmt::format("refusals_total{{reason=\"{}\"}}", name_of(static_cast<refusal>(i))),
            counters.refusals[i]);
    constexpr std::array<char const*, upstream_proximity_count> distances{"place", "region",
                                                                          "beyond"};
    for (std::size_t i = 0; i < distances.size(); ++i)
        write_metric(fmt::format("body_bytes_total{{to=\"{}\"}}", distances[i]),
                     counters.body_bytes[i]);
    place_reports_.write_metrics(out);
    write_metric("sends_held_back_by_pace_total", counters.held_back_by_pace);
    write_metric("upstreams_paced", engine_.paced_upstreams());
    write_metric("requests_under_way", engine_.requests_under_way());
    http1::client_counters const& connections = upstream_client_.counters();
    write_metric("upstream_connections_opened_total", connections.connections_opened);
    write_metric("upstream_connections_opened_none_idle_total", connections.opened_none_idle);
    write_metric("upstream_connections_opened_idle_too_long_total",
                 connections.opened_idle_too_long);
    write_metric("upstream_connections_reused_total", connections.connections_reused);
    write_metric("upstream_answers_skipped_total", connections.answers_skipped);
    write_metric("upstream_answers_dropped_for_memory_total",
                 connections.answers_dropped_for_memory);
    for (std::size_t i = 1; i < connections.answers_over_limit.size(); ++i) {
        char const* const limit = http1::name_of(static_cast<http1::answer_limit>(i));
        write_metric(fmt::format("upstream_answers_over_limit_total{{limit=\"{}\"}}", limit),
                     connections.answers_over_limit.at(i));
    }
    write_metric("upstream_bodies_held_back_total", connections.calls_refused_for_bodies);
    write_metric("caller_connections", caller_server_.open_connections());
    http1::server_counters const& callers = caller_server_.counters();
    write_metric("caller_connections_accepted_total", callers.accepted);
    for (std::size_t i = 0; i < http1::connection_end_count; ++i) {
        char const* const end = name_of(static_cast<http1::connection_end>(i));
        write_metric(fmt::format("caller_connections_ended_total{{end=\"{}\"}}", end),
                     callers.ends[i]);
        write_metric(fmt::format("caller_requests_unanswered_total{{end=\"{}\"}}", end),
                     callers.unanswered[i]);
        write_metric(fmt::format("caller_reads_after_end_total{{end=\"{}\"}}", end),
                     callers.reads_after_end[i]);
    }
    for (service_times const& each : engine_.median_service_times()) {
        auto const write_median = [&](std::string_view object, duration median) {
            write_metric(fmt::format("service_time_us{{service=\"{}\",object=\"{}\"}}",
                                     each.service.get(), object),
                         static_cast<std::uint64_t>(std::max(median, duration::zero()).count()));
        };
        write_median("recent", each.recent_object);
        write_median("new", each.new_object);
    }
    auto const write_quantiles = [&](std::string_view name, latency_histogram const& histogram) {
        for (double const quantile : {0.5, 0.9, 0.99}) {
            fmt::format_to(std::back_inserter(out), "burdockstep_{}{{quantile=\"{}\"}} {}\n", name,
                           quantile, histogram.percentile(quantile).count());
        }
    };
    write_quantiles("request_latency_us", request_latencies_);
    write_quantiles("request_hold_us", hold_times_);
    write_quantiles("slot_report_age_us", slot_report_ages_);
    quotas_.write_metrics(out);
}

} // namespace burdockstep::gateway
