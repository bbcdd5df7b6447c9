/// Callers' requests: takes them, sends them to upstreams, hands answers back.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/dispatch/report_delays.hpp"
#include "libraries/forwarding/forwarding_engine.hpp"
#include "libraries/forwarding/http_dialect.hpp"
#include "libraries/http1/client.hpp"
#include "libraries/http1/server.hpp"
#include "libraries/metrics/latency_histogram.hpp"

#include <memory>
#include <unordered_map>

namespace burdockstep::gateway {

/// Owns the callers' connections, the upstreams' connections and the forwarding engine.
class requests_task final : public task
{
public:
    requests_task(gateway_context& context, http_dialect const& dialect);

    std::string_view name() const override { return "requests"; }
    result<void> try_start() override;
    void receive(event const& what) override;
    bool is_idle() const override { return exchanges_.empty(); }
    void write_metrics(std::string& out) const override;

private:
    using commands = forwarding_engine::commands;

    void take_request(std::shared_ptr<http1::exchange> each);
    void carry_out(commands const& todo);
    void carry_out(send_request const& order);
    void carry_out(cancel_request_send const& order);
    void carry_out(deliver_answer const& order);
    void carry_out(refuse_request const& order);
    void carry_out(probe_upstream const& order);
    void carry_out(announce_upstream_leaving const& order);
    void take_result(request_id id, upstream_name const& upstream, http1::call_result result);
    void take_probe_result(upstream_name const& upstream, http1::call_result const& result);
    void arm_tick();
    void tell_counts();
    void tell_all_counts(bool to_own_region);
    wire::slot_report make_report(std::vector<wire::upstream_request_count> counts,
                                  bool is_full_report);
    void log_end(request_id id, std::string_view outcome, int status);
    void adopt(routing_adopted const& adopted);

    gateway_context& context_;
    http_dialect const& dialect_;
    /// Failures are told one by one up to this many a second.
    static constexpr unsigned log_lines_per_second = 100;

    logger log_{"requests", log_lines_per_second};
    forwarding_engine engine_;
    http1::client upstreams_;
    http1::server callers_;
    timer tick_timer_;
    timer upkeep_timer_;
    timer near_report_timer_;
    timer far_report_timer_;
    std::optional<time_point> armed_for_;
    bool near_report_due_ = false;
    bool far_report_due_ = false;
    bool far_reported_ = false; ///< Since the last upkeep that looked.
    report_delays report_pace_ = report_delays_for(1, 0);
    std::unordered_map<request_id, std::shared_ptr<http1::exchange>> exchanges_;
    std::unordered_map<request_id, http1::call_number> sends_;
    http1::call_result answer_; ///< Of the send whose end is being reported.
    std::uint64_t last_request_ = 0;
    std::uint64_t last_report_ = 0;
    unsigned upkeeps_ = 0;
    bool stopping_ = false;
    bool refusing_ = false; ///< Callers have been told to go elsewhere.
    latency_histogram latencies_;
};

} // namespace burdockstep::gateway
