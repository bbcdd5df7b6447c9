/// Accepts callers' requests, sends them to upstreams and returns the answers.
#pragma once

#include "services/burdockstep_gateway/requests/place_reports.hpp"
#include "services/burdockstep_gateway/requests/quota_exchange.hpp"
#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/core/reported_keys.hpp"
#include "libraries/dispatch/report_delays.hpp"
#include "libraries/forwarding/forwarding_engine.hpp"
#include "libraries/forwarding/http_dialect.hpp"
#include "libraries/http1/client.hpp"
#include "libraries/http1/server.hpp"
#include "libraries/metrics/latency_histogram.hpp"

#include <memory>
#include <unordered_map>

namespace burdockstep::gateway {

/// Owns the HTTP server for callers, the HTTP client for upstreams and the forwarding engine, whose
/// commands it executes.
class requests_task final : public task
{
public:
    requests_task(gateway_context& context, http_dialect const& dialect);

    std::string_view name() const override { return "requests"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;
    /// True when all requests have ended and their answers have been sent.
    bool is_idle() const override
    {
        return exchanges_.empty() && caller_server_.unsent_bytes() == 0;
    }
    void write_metrics(std::string& out) const override;

private:
    using commands = forwarding_engine::commands;

    void handle_request(std::shared_ptr<http1::exchange> http_exchange);
    void execute(commands const& pending_commands);
    void execute(send_request const& command);
    void execute(cancel_request_send const& command);
    void execute(deliver_answer const& command);
    void execute(refuse_request const& command);
    void execute(probe_upstream const& command);
    void execute(announce_upstream_leaving const& command);
    void handle_send_result(request_id id, upstream_name const& upstream,
                            http1::call_result result);
    /// Ends a request whose answer arrived in part and found no room. The upstream isn't at fault.
    void end_without_room(request_id id, http1::call_result const& result);
    void handle_probe_result(upstream_name const& upstream, upstream_incarnation incarnation,
                             http1::call_result const& result);
    /// Returns a function that reads what an upstream says of itself in the head of any answer on a
    /// connection on which a request or probe is sent to this incarnation.
    std::function<void(http1::message_head const&)> notice_reader(upstream_name const& upstream,
                                                                  upstream_incarnation incarnation);
    void schedule_tick();
    void report_changed_counts();
    void report_all_counts(bool to_own_region);
    wire::slot_report make_slot_report(std::vector<wire::upstream_request_count> counts,
                                       bool is_full_report);
    void log_unanswered(request_id id, time_point arrived_at, http1::connection_end end);
    void log_pace_changes();
    /// Logs the requests and answers that the end of the process cuts.
    void log_cut_requests();
    void log_request_end(request_id id, std::string_view outcome, int status);
    void apply_routing_document(routing_document_applied const& applied_document);
    /// Has keys confirmed early if a request was just refused for want of that.
    void want_key_confirmation();
    /// Logs when this entry begins or ceases to refuse requests with keys.
    void log_key_use();

    gateway_context& context_;
    http_dialect const& dialect_;
    /// Limit of repeated log lines per second, high enough to show most failed requests one by one.
    static constexpr unsigned log_lines_per_second = 100;

    logger log_{"requests", log_lines_per_second};
    quota_exchange quotas_;
    forwarding_engine engine_;
    http1::client upstream_client_;
    http1::server caller_server_;
    timer engine_tick_timer_;
    timer maintenance_timer_;
    timer own_region_report_timer_;
    timer other_regions_report_timer_;
    std::optional<time_point> tick_scheduled_for_;
    bool own_region_report_scheduled_ = false;
    bool other_regions_report_scheduled_ = false;
    bool reported_to_other_regions_ = false; ///< Since the last full report to the own region.
    report_delays report_delays_ = report_delays_for(1, 0);
    place_reports place_reports_;
    std::unordered_map<request_id, std::shared_ptr<http1::exchange>> exchanges_;
    std::unordered_map<request_id, http1::call_number> active_sends_;
    http1::call_result current_answer_; ///< Answer of the send that is being reported to `engine_`.
    std::uint64_t last_request_number_ = 0;
    std::uint64_t last_report_number_ = 0;
    unsigned maintenance_runs_ = 0;
    latency_histogram request_latencies_;
    latency_histogram hold_times_; ///< Of all requests, from arrival to the first send or the end.
    /// Mean age of the slot reports, sampled at each run of the maintenance timer.
    latency_histogram slot_report_ages_;
    reported_keys upstreams_with_unusable_pause_;
    bool identifies_callers_ = false;
    bool acts_on_keys_ = true; ///< As last logged.
    std::optional<time_point> keys_confirmed_at_;
    std::optional<time_point> confirmation_wanted_at_;
};

} // namespace burdockstep::gateway
