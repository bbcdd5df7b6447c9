#include "services/burdockstep_gateway/requests/requests_task.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// Probes, ageing reports and whole reports are looked at this often.
constexpr duration upkeep_interval = std::chrono::milliseconds(100);
constexpr unsigned upkeeps_per_whole_report = 5;
/// After the process stood still nothing is sent before the registry was heard anew, or this long.
constexpr duration longest_suspension = std::chrono::milliseconds(1'500);
constexpr duration stopping_return = std::chrono::milliseconds(50);
constexpr int status_unavailable = 503;
constexpr std::size_t most_body_bytes = std::size_t{64} * 1024 * 1024;

forwarding_options make_options(gateway_settings const& settings)
{
    forwarding_options options;
    options.instance = settings.instance;
    options.place = settings.place;
    options.region = settings.region;
    options.retry_budget = {.max_retry_ratio = settings.retry_ratio,
                            .fixed_retries = settings.retry_slack,
                            .window = settings.retry_window};
    // Windows at other entries begin at other times: the last third is left to them.
    options.region_shift_limits.max_change_per_window = settings.max_region_shift_share * 2 / 3;
    return options;
}

} // namespace

requests_task::requests_task(gateway_context& context, http_dialect const& dialect)
    : context_(context), dialect_(dialect), engine_(make_options(context.settings), context.random),
      upstreams_(context.loop, context.clock, {}), callers_(context.loop, context.clock, {}),
      tick_timer_(context.loop), upkeep_timer_(context.loop), near_report_timer_(context.loop),
      far_report_timer_(context.loop)
{}

result<void> requests_task::try_start()
{
    auto const listening = [&]() -> result<address> {
        return callers_.try_listen(
            context_.settings.callers,
            [this](std::shared_ptr<http1::exchange> each) { take_request(std::move(each)); });
    };
    BOOST_LEAF_ASSIGN(context_.settings.callers, listening());
    upkeep_timer_.start_periodic(upkeep_interval, [this] {
        carry_out(engine_.tick(context_.clock.now()));
        if (++upkeeps_ % upkeeps_per_whole_report == 0) {
            tell_all_counts(true);
            if (!std::exchange(far_reported_, false))
                tell_all_counts(false);
        }
    });
    return {};
}

void requests_task::take_request(std::shared_ptr<http1::exchange> each)
{
    if (refusing_) {
        each->reply(
            dialect_.gateway_answer(each->request().head, status_unavailable, stopping_return));
        return;
    }
    request_arrival arrival = dialect_.read_request(each->request().head);
    request_id const id(++last_request_);
    arrival.id = id;
    each->on_disconnect([this, id] {
        exchanges_.erase(id);
        carry_out(engine_.handle_caller_disconnect(id, context_.clock.now()));
    });
    exchanges_.emplace(id, std::move(each));
    carry_out(engine_.submit(std::move(arrival), context_.clock.now()));
}

void requests_task::carry_out(commands const& todo)
{
    for (forwarding_command const& each : todo)
        std::visit([this](auto const& order) { carry_out(order); }, each);
    arm_tick();
    if (!near_report_due_ && engine_.has_changed_counts()) {
        near_report_due_ = true;
        near_report_timer_.start_once(report_pace_.own_region_delay, [this] { tell_counts(); });
    }
}

void requests_task::carry_out(send_request const& order)
{
    auto const found = exchanges_.find(order.id);
    if (found == exchanges_.end())
        return;
    http1::server_request const& request = found->second->request();
    http1::call_options call{
        .to = order.to,
        .method = request.head.method,
        .target = request.head.target,
        .headers = dialect_.upstream_headers(request.head, order.upstream, order.time_left),
        .body = request.body,
        .answer_id = dialect_.answer_id(request.head),
        .max_idle_time = order.longest_idle,
        .connect_timeout = order.connect_timeout};
    sends_[order.id] =
        upstreams_.start(std::move(call), [this, id = order.id,
                                           upstream = order.upstream](http1::call_result result) {
            take_result(id, upstream, std::move(result));
        });
}

void requests_task::take_result(request_id id, upstream_name const& upstream,
                                http1::call_result result)
{
    sends_.erase(id);
    if (result.connect_time > duration::zero())
        engine_.record_round_trip(upstream, result.connect_time);
    send_end_report report;
    switch (result.end) {
    case http1::call_end::complete:
        report = dialect_.read_answer(result.head);
        break;
    case http1::call_end::not_connected:
        report.result = send_result::not_connected;
        break;
    case http1::call_end::broken:
        report.result = send_result::broken;
        break;
    }
    if (result.end == http1::call_end::broken && result.on_reused_connection)
        upstreams_.discard_connections(result.to);
    report.on_kept_connection = result.on_reused_connection;
    report.was_reset = result.connection_was_reset;
    bool const own_word =
        report.result == send_result::answered && report.status < status_unavailable;
    if (!own_word) {
        auto const found = exchanges_.find(id);
        std::string const caller_id = found == exchanges_.end()
                                          ? std::string("-")
                                          : dialect_.answer_id(found->second->request().head).value;
        log_.info("send failed",
                  {field("request", caller_id), field("upstream", upstream.get()),
                   field("result", name_of(report.result)), field("status", report.status),
                   field("kept", report.on_kept_connection), field("reset", report.was_reset)});
    }
    answer_ = std::move(result);
    carry_out(engine_.handle_send_end(id, report, context_.clock.now()));
    answer_ = {};
}

void requests_task::carry_out(cancel_request_send const& order)
{
    auto const found = sends_.find(order.id);
    if (found == sends_.end())
        return;
    upstreams_.cancel(found->second);
    sends_.erase(found);
}

void requests_task::carry_out(deliver_answer const& order)
{
    auto const found = exchanges_.find(order.id);
    if (found == exchanges_.end())
        return;
    auto const exchange = std::move(found->second);
    exchanges_.erase(found);
    latencies_.add(engine_.last_finished().total_time);
    int const status = answer_.head.status;
    exchange->reply({.status = status,
                     .headers = dialect_.caller_headers(answer_.head),
                     .body = std::move(answer_.body)});
    if (status >= 400)
        log_end(order.id, "delivered", status);
}

void requests_task::carry_out(refuse_request const& order)
{
    auto const found = exchanges_.find(order.id);
    if (found == exchanges_.end())
        return;
    auto const exchange = std::move(found->second);
    exchanges_.erase(found);
    exchange->reply(
        dialect_.gateway_answer(exchange->request().head, order.status, order.retry_after));
    log_end(order.id, name_of(order.reason), order.status);
}

void requests_task::log_end(request_id id, std::string_view outcome, int status)
{
    request_summary const& story = engine_.last_finished();
    log_.info("request ended",
              {field("request", story.caller_id), field("number", id.get()),
               field("outcome", outcome), field("status", status), field("route", story.route),
               field("service", story.service.get()), field("upstream", story.upstream.get()),
               field("sends", story.sends), field("held_us", story.hold_time.count()),
               field("total_us", story.total_time.count()),
               field("configuration", story.version.get())});
}

void requests_task::carry_out(probe_upstream const& order)
{
    http1::call_options call{.to = order.to,
                             .target = order.path,
                             .headers = {},
                             .body = {},
                             .answer_id = {},
                             .max_idle_time = duration::zero(),
                             .connect_timeout = order.timeout,
                             .answer_timeout = order.timeout};
    upstreams_.start(std::move(call),
                     [this, upstream = order.upstream](http1::call_result const& result) {
                         take_probe_result(upstream, result);
                     });
}

void requests_task::take_probe_result(upstream_name const& upstream,
                                      http1::call_result const& result)
{
    probe_report report;
    if (result.end == http1::call_end::complete)
        report = dialect_.read_health(result.head, upstream);
    log_.info("upstream probed",
              {field("upstream", upstream.get()), field("healthy", report.healthy),
               field("other_instance", report.is_other_instance),
               field("status", result.head.status)});
    if (report.cold_left && *report.cold_left > duration::zero())
        context_.post(upstream_cold{.name = upstream, .left = *report.cold_left});
    // Behind the news that it is cold, so that nothing is sent in between.
    context_.loop.post([this, upstream, report] {
        carry_out(engine_.handle_probe_report(upstream, report, context_.clock.now()));
    });
}

void requests_task::carry_out(announce_upstream_leaving const& order)
{
    context_.post(upstream_leaving{.name = order.upstream});
}

void requests_task::arm_tick()
{
    auto const next = engine_.next_tick();
    if (next == armed_for_)
        return;
    armed_for_ = next;
    if (!next) {
        tick_timer_.stop();
        return;
    }
    time_point const now = context_.clock.now();
    tick_timer_.start_once(std::max(*next - now, duration::zero()), [this] {
        armed_for_.reset();
        carry_out(engine_.tick(context_.clock.now()));
    });
}

wire::slot_report requests_task::make_report(std::vector<wire::upstream_request_count> counts,
                                             bool is_full_report)
{
    constexpr std::size_t most = decltype(wire::slot_report::counts)::max_elements;
    wire::slot_report report{.instance = wire::name_text(context_.settings.instance.get()),
                             .incarnation = context_.run.incarnation.get(),
                             .number = ++last_report_,
                             .is_full_report = is_full_report && counts.size() <= most,
                             .counts = {}};
    counts.resize(std::min(counts.size(), most));
    report.counts = decltype(report.counts)(std::move(counts));
    return report;
}

void requests_task::tell_counts()
{
    near_report_due_ = false;
    auto counts = engine_.take_changed_counts();
    if (counts.empty())
        return;
    context_.post(slot_report_made{.report = make_report(std::move(counts), false)});
    if (far_report_due_)
        return;
    far_report_due_ = true;
    far_report_timer_.start_once(report_pace_.other_regions_delay, [this] {
        far_report_due_ = false;
        tell_all_counts(false);
    });
}

void requests_task::tell_all_counts(bool to_own_region)
{
    far_reported_ = far_reported_ || !to_own_region;
    wire::slot_report report = make_report(engine_.all_counts(), true);
    if (to_own_region) {
        for (wire::service_spill_fraction const& each : engine_.spill_fractions()) {
            if (!report.spilled_fractions.is_full())
                report.spilled_fractions.add(each);
        }
    }
    context_.post(slot_report_made{.report = std::move(report), .to_own_region = to_own_region});
}

void requests_task::adopt(routing_adopted const& adopted)
{
    caller_limits const& limits = adopted.document->limits;
    callers_.set_limits({.max_head_bytes = limits.head_bytes,
                         .max_body_bytes = std::min(limits.body_bytes, most_body_bytes),
                         .request_stall_timeout = limits.head_timeout,
                         .idle_timeout = limits.idle_timeout});
    carry_out(engine_.update_document(adopted.document, context_.clock.now()));
}

void requests_task::receive(event const& what)
{
    time_point const now = context_.clock.now();
    if (auto const* const adopted = std::get_if<routing_adopted>(&what)) {
        adopt(*adopted);
    }
    else if (auto const* const changed = std::get_if<upstreams_changed>(&what)) {
        carry_out(engine_.update_upstreams(*changed->upstreams, now));
    }
    else if (std::holds_alternative<registry_heard>(what)) {
        carry_out(engine_.resume(now));
    }
    else if (auto const* const members = std::get_if<members_changed>(&what)) {
        std::map<instance_name, region_name> entries;
        std::size_t near = 0;
        for (member_view const& each : members->members) {
            bool const lives = each.listed.instance == context_.settings.instance ||
                               (each.is_reachable() && !each.listed.leaving);
            if (!lives)
                continue;
            entries.emplace(each.listed.instance, each.listed.region);
            near += each.listed.region == context_.settings.region ? 1 : 0;
        }
        report_pace_ = report_delays_for(near, entries.size() - near);
        engine_.update_entries(entries);
    }
    else if (auto const* const report = std::get_if<slot_report_heard>(&what)) {
        carry_out(engine_.handle_slot_report(report->report, now));
    }
    else if (auto const* const store = std::get_if<store_reachability>(&what)) {
        engine_.set_routes_incomplete(!store->reachable);
    }
    else if (std::holds_alternative<process_resumed>(what)) {
        engine_.suspend(now + longest_suspension);
    }
    else if (std::holds_alternative<stop_begun>(what)) {
        stopping_ = true;
        callers_.close_after_answers();
    }
    else if (std::holds_alternative<callers_moved_on>(what)) {
        refusing_ = true;
        callers_.stop_accepting();
    }
}

void requests_task::write_metrics(std::string& out) const
{
    forwarding_counters const& counters = engine_.counters();
    auto const line = [&](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(out), "burdockstep_{} {}\n", name, value);
    };
    line("requests_arrived_total", counters.arrived);
    line("requests_answered_total", counters.answered);
    line("requests_refused_total", counters.refused);
    line("requests_failed_total", counters.failed);
    line("sends_total", counters.sends);
    line("further_sends_total", counters.further_sends);
    line("further_sends_denied_total", counters.retries_denied);
    line("requests_left_region_total", counters.left_region);
    line("callers_gone_total", counters.callers_gone);
    line("probes_total", counters.probes);
    line("requests_under_way", engine_.requests_under_way());
    line("upstream_connections_opened_total", upstreams_.counters().connections_opened);
    line("upstream_answers_skipped_total", upstreams_.counters().answers_skipped);
    line("caller_connections", callers_.open_connections());
    for (double const part : {0.5, 0.9, 0.99}) {
        fmt::format_to(std::back_inserter(out),
                       "burdockstep_request_latency_us{{quantile=\"{}\"}} {}\n", part,
                       latencies_.percentile(part).count());
    }
}

} // namespace burdockstep::gateway
