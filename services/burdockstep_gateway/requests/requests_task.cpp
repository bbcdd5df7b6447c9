#include "services/burdockstep_gateway/requests/requests_task.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// Interval at which the engine checks for due probes and expired slot reports. Full slot reports
/// are sent on every fifth run.
constexpr duration requests_maintenance_interval = std::chrono::milliseconds(100);
constexpr unsigned maintenance_runs_per_full_report = 5;
/// After the process was suspended, requests wait for the registry to be read again, but no longer
/// than this.
constexpr duration max_suspension = std::chrono::milliseconds(1'500);
/// One incomplete answer may take this part of the process's memory.
constexpr std::size_t answer_memory_divisor = 4;
/// Within this time the entries' views of who lives come to agree: a start or an end is known to
/// all after a few heartbeats.
constexpr duration view_settle_time = std::chrono::milliseconds(2'000);
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr std::size_t max_request_body_bytes = std::size_t{64} * 1024 * 1024;
/// This part of the limit is left for the way of a request to its upstream, repeats included, and
/// so that callers have time to turn to an entry that is in touch.
constexpr duration key_use_margin = std::chrono::milliseconds(1'200);
/// An unknown key is denied if the known keys were proven complete less than this time ago. A new
/// key needs to be known everywhere only some seconds after it was added.
constexpr duration key_denial_limit = std::chrono::milliseconds(2'000);
/// Refused requests ask for an early confirmation of keys at most this often.
constexpr duration confirmation_request_interval = std::chrono::milliseconds(100);

/// The bodies under way to one upstream may take this many times the largest permitted body, and in
/// any case the number of bytes below.
constexpr std::size_t max_largest_bodies_per_upstream = 4;
constexpr std::size_t min_body_bytes_per_upstream = std::size_t{64} * 1024 * 1024;

forwarding_options make_forwarding_options(gateway_settings const& settings)
{
    forwarding_options options;
    options.instance = settings.instance;
    options.place = settings.place;
    options.region = settings.region;
    options.cold_sender.view_settle_time = view_settle_time;
    options.retry_budget = {.max_retry_ratio = settings.retry_ratio,
                            .fixed_retries = settings.retry_slack,
                            .window = settings.retry_window};
    // The limit applies to any two seconds, but the entries' windows begin at different times: a
    // third of it is kept as a margin.
    options.region_shift_limits.max_change_per_window = settings.max_region_shift_share * 2 / 3;
    options.key_trust.denial_limit = key_denial_limit;
    bool const limits_withdrawn_keys = settings.key_revocation_limit > duration::zero();
    if (limits_withdrawn_keys)
        options.key_trust.revocation_limit = settings.key_revocation_limit - key_use_margin;
    return options;
}

http1::client_limits make_client_limits(gateway_settings const& settings)
{
    http1::client_limits limits;
    // The memory budget, which is smaller, bounds what all calls hold together.
    limits.max_buffered_bytes = settings.memory_bytes;
    limits.max_body_bytes =
        std::min(limits.max_body_bytes, settings.memory_bytes / answer_memory_divisor);
    return limits;
}

} // namespace

requests_task::requests_task(gateway_context& context, http_dialect const& dialect)
    : context_(context), dialect_(dialect),
      quotas_(context,
              [this](late_quota_verdict const& verdict) {
                  execute(engine_.handle_quota_answer(verdict.request, verdict.answer,
                                                      context_.clock.now()));
              }),
      engine_(make_forwarding_options(context.settings), context.random),
      upstream_client_(context.loop, context.clock, make_client_limits(context.settings),
                       context.budgets.callers),
      caller_server_(context.loop, context.clock, {}, context.budgets.callers),
      engine_tick_timer_(context.loop), maintenance_timer_(context.loop),
      own_region_report_timer_(context.loop), other_regions_report_timer_(context.loop),
      place_reports_(context, [this] { return engine_.all_counts(); })
{
    engine_.set_quota_gate(quotas_);
}

result<void> requests_task::try_start()
{
    auto const listen = [&]() -> result<address> {
        return caller_server_.try_listen(context_.settings.callers,
                                         [this](std::shared_ptr<http1::exchange> http_exchange) {
                                             handle_request(std::move(http_exchange));
                                         });
    };
    BOOST_LEAF_ASSIGN(context_.settings.callers, listen());
    maintenance_timer_.start_periodic(requests_maintenance_interval, [this] {
        execute(engine_.tick(context_.clock.now()));
        log_key_use();
        log_pace_changes();
        slot_report_ages_.add(engine_.mean_report_age(context_.clock.now()));
        if (++maintenance_runs_ % maintenance_runs_per_full_report == 0) {
            report_all_counts(true);
            if (!std::exchange(reported_to_other_regions_, false))
                report_all_counts(false);
            place_reports_.send_all(engine_.spill_fractions());
        }
    });
    return {};
}

void requests_task::handle_request(std::shared_ptr<http1::exchange> http_exchange)
{
    request_arrival arrival = dialect_.read_request(http_exchange->request().head);
    request_id const id(++last_request_number_);
    arrival.id = id;
    time_point const arrived_at = context_.clock.now();
    http_exchange->on_disconnect([this, id, arrived_at](http1::connection_end end) {
        log_unanswered(id, arrived_at, end);
        exchanges_.erase(id);
        execute(engine_.handle_caller_disconnect(id, context_.clock.now()));
    });
    exchanges_.emplace(id, std::move(http_exchange));
    execute(engine_.submit(std::move(arrival), context_.clock.now()));
}

void requests_task::execute(commands const& pending_commands)
{
    for (forwarding_command const& each : pending_commands)
        std::visit([this](auto const& command) { execute(command); }, each);
    schedule_tick();
    if (!own_region_report_scheduled_ && engine_.has_changed_counts()) {
        own_region_report_scheduled_ = true;
        own_region_report_timer_.start_once(report_delays_.own_region_delay,
                                            [this] { report_changed_counts(); });
    }
}

void requests_task::execute(send_request const& command)
{
    auto const found = exchanges_.find(command.id);
    if (found == exchanges_.end())
        return;
    if (!engine_.may_still_send(command, context_.clock.now())) {
        // Posted, because the engine's commands are still being carried out.
        context_.loop.post([this, id = command.id] {
            execute(engine_.handle_send_end(id, {.result = send_result::not_permitted, .load = {}},
                                            context_.clock.now()));
        });
        return;
    }
    http1::server_request const& request = found->second->request();
    http_header const answer_id = dialect_.answer_id(request.head);
    http1::call_options call{.to = command.to,
                             .method = request.head.method,
                             .target = request.head.target,
                             .headers = dialect_.upstream_headers(
                                 request.head, command.upstream, command.time_left, command.caller),
                             .body = request.body,
                             .answer_id = answer_id,
                             .on_new_connection = answer_id.name.empty(),
                             .max_idle_time = command.longest_idle,
                             .connect_timeout = command.connect_timeout,
                             .on_any_head = notice_reader(command.upstream, command.incarnation)};
    active_sends_[command.id] = upstream_client_.start(
        std::move(call),
        [this, id = command.id, upstream = command.upstream](http1::call_result result) {
            handle_send_result(id, upstream, std::move(result));
        });
}

void requests_task::handle_send_result(request_id id, upstream_name const& upstream,
                                       http1::call_result result)
{
    active_sends_.erase(id);
    if (result.end == http1::call_end::answer_dropped) {
        end_without_room(id, result);
        return;
    }
    if (result.connect_time > duration::zero())
        engine_.record_round_trip(upstream, result.connect_time);
    http1::answer_limit const exceeded = result.exceeded;
    send_end_report report;
    switch (result.end) {
    case http1::call_end::complete:
        report = dialect_.read_answer(result.head);
        break;
    case http1::call_end::not_connected:
        report.result = send_result::not_connected;
        break;
    case http1::call_end::broken:
    case http1::call_end::answer_dropped:
        report.result = send_result::broken;
        break;
    case http1::call_end::no_room:
        report.result = send_result::no_room_here;
        break;
    }
    if (result.end == http1::call_end::broken && result.on_reused_connection)
        upstream_client_.discard_connections(result.to);
    report.on_kept_connection = result.on_reused_connection;
    report.was_reset = result.connection_was_reset;
    auto const exchange = exchanges_.find(id);
    report.body_bytes =
        result.body.size() +
        (exchange == exchanges_.end() ? 0 : exchange->second->request().body.size());
    bool const is_regular_answer =
        report.result == send_result::answered && report.status < status_unavailable;
    if (!is_regular_answer) {
        auto const found = exchanges_.find(id);
        std::string const caller_id = found == exchanges_.end()
                                          ? std::string("-")
                                          : dialect_.answer_id(found->second->request().head).value;
        log_.info("send failed",
                  {field("request", caller_id), field("upstream", upstream.get()),
                   field("result", name_of(report.result)), field("status", report.status),
                   field("kept", report.on_kept_connection), field("reset", report.was_reset),
                   field("limit_exceeded", http1::name_of(exceeded))});
    }
    current_answer_ = std::move(result);
    execute(engine_.handle_send_end(id, report, context_.clock.now()));
    current_answer_ = {};
}

void requests_task::end_without_room(request_id id, http1::call_result const& result)
{
    time_point const now = context_.clock.now();
    auto const exchange = exchanges_.extract(id);
    execute(engine_.handle_caller_disconnect(id, now));
    // A request that isn't idempotent stays under way without its caller: its answer has come.
    bool const has_head = result.head.status != 0;
    execute(engine_.handle_send_end(
        id, has_head ? dialect_.read_answer(result.head) : send_end_report{}, now));
    if (exchange.empty())
        return;
    http1::exchange& http_exchange = *exchange.mapped();
    http_exchange.reply(
        dialect_.gateway_answer(http_exchange.request().head, status_bad_gateway, std::nullopt));
    log_request_end(id, "answer-dropped", status_bad_gateway);
}

void requests_task::execute(cancel_request_send const& command)
{
    auto const found = active_sends_.find(command.id);
    if (found == active_sends_.end())
        return;
    upstream_client_.cancel(found->second);
    active_sends_.erase(found);
}

void requests_task::execute(deliver_answer const& command)
{
    auto const found = exchanges_.find(command.id);
    if (found == exchanges_.end())
        return;
    auto const exchange = std::move(found->second);
    exchanges_.erase(found);
    request_latencies_.add(engine_.last_finished().total_time);
    hold_times_.add(engine_.last_finished().hold_time);
    int const status = current_answer_.head.status;
    current_answer_.charge.reset(); // From here on the caller's connection is charged.
    exchange->reply({.status = status,
                     .headers = dialect_.caller_headers(current_answer_.head),
                     .body = std::move(current_answer_.body)});
    if (status >= 400)
        log_request_end(command.id, "delivered", status);
}

void requests_task::execute(refuse_request const& command)
{
    auto const found = exchanges_.find(command.id);
    if (found == exchanges_.end())
        return;
    auto const exchange = std::move(found->second);
    exchanges_.erase(found);
    exchange->reply(
        dialect_.gateway_answer(exchange->request().head, command.status, command.retry_after));
    hold_times_.add(engine_.last_finished().hold_time);
    log_request_end(command.id, name_of(command.reason), command.status);
    if (command.reason == refusal::unconfirmed_key)
        want_key_confirmation();
}

void requests_task::want_key_confirmation()
{
    time_point const now = context_.clock.now();
    if (confirmation_wanted_at_ && now - *confirmation_wanted_at_ < confirmation_request_interval)
        return;
    confirmation_wanted_at_ = now;
    context_.post(key_confirmation_wanted{});
}

void requests_task::execute(probe_upstream const& command)
{
    http1::call_options call{.to = command.to,
                             .target = command.path,
                             .headers = {},
                             .body = {},
                             .answer_id = {},
                             .on_new_connection = true,
                             .connect_timeout = command.timeout,
                             .answer_timeout = command.timeout,
                             .call_timeout = 2 * command.timeout,
                             .on_any_head = notice_reader(command.upstream, command.incarnation)};
    upstream_client_.start(std::move(call),
                           [this, upstream = command.upstream,
                            incarnation = command.incarnation](http1::call_result const& result) {
                               handle_probe_result(upstream, incarnation, result);
                           });
}

std::function<void(http1::message_head const&)>
requests_task::notice_reader(upstream_name const& upstream, upstream_incarnation incarnation)
{
    return [this, upstream, incarnation](http1::message_head const& head) {
        upstream_notice const notice = dialect_.read_notice(head);
        if (notice.has_unusable_pause && upstreams_with_unusable_pause_.is_new(upstream.get()))
            log_.warning("upstream asked for a pause that is unreadable or too long; it is ignored "
                         "or shortened",
                         {field("upstream", upstream.get())});
        if (!notice.is_empty())
            execute(engine_.handle_notice(upstream, incarnation, notice, context_.clock.now()));
    };
}

void requests_task::handle_probe_result(upstream_name const& upstream,
                                        upstream_incarnation incarnation,
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
        context_.post(
            upstream_cold_start_reported{.name = upstream, .cold_time_left = *report.cold_left});
    // Queued after the cold-start event, so that the engine sends nothing to the upstream before it
    // knows that it is cold.
    context_.loop.post([this, upstream, incarnation, report] {
        execute(engine_.handle_probe_report(upstream, incarnation, report, context_.clock.now()));
    });
}

void requests_task::execute(announce_upstream_leaving const& command)
{
    context_.post(upstream_leaving{.report = {.upstream = command.upstream,
                                              .incarnation = command.incarnation,
                                              .reported_at = context_.clock.now()}});
}

void requests_task::schedule_tick()
{
    auto const next_tick_time = engine_.next_tick();
    if (next_tick_time == tick_scheduled_for_)
        return;
    tick_scheduled_for_ = next_tick_time;
    if (!next_tick_time) {
        engine_tick_timer_.stop();
        return;
    }
    time_point const now = context_.clock.now();
    engine_tick_timer_.start_once(std::max(*next_tick_time - now, duration::zero()), [this] {
        tick_scheduled_for_.reset();
        execute(engine_.tick(context_.clock.now()));
    });
}

wire::slot_report requests_task::make_slot_report(std::vector<wire::upstream_request_count> counts,
                                                  bool is_full_report)
{
    constexpr std::size_t max_counts = decltype(wire::slot_report::counts)::max_elements;
    wire::slot_report report{.instance = wire::name_text(context_.settings.instance.get()),
                             .incarnation = context_.run.incarnation.get(),
                             .number = ++last_report_number_,
                             .is_full_report = is_full_report && counts.size() <= max_counts,
                             .counts = {}};
    counts.resize(std::min(counts.size(), max_counts));
    report.counts = decltype(report.counts)(std::move(counts));
    return report;
}

void requests_task::report_changed_counts()
{
    own_region_report_scheduled_ = false;
    auto counts = engine_.take_changed_counts();
    if (counts.empty())
        return;
    context_.post(slot_report_ready{.report = make_slot_report(std::move(counts), false),
                                    .audience = place_reports_.own_audience()});
    if (other_regions_report_scheduled_)
        return;
    other_regions_report_scheduled_ = true;
    other_regions_report_timer_.start_once(report_delays_.other_regions_delay, [this] {
        other_regions_report_scheduled_ = false;
        report_all_counts(false);
    });
}

void requests_task::report_all_counts(bool to_own_region)
{
    reported_to_other_regions_ = reported_to_other_regions_ || !to_own_region;
    if (!to_own_region && place_reports_.uses_relays())
        return;
    wire::slot_report report = make_slot_report(engine_.all_counts(), true);
    if (to_own_region) {
        for (wire::service_spill_fraction const& each : engine_.spill_fractions()) {
            if (!report.spilled_fractions.is_full())
                report.spilled_fractions.add(each);
        }
    }
    context_.post(slot_report_ready{.report = std::move(report),
                                    .audience = to_own_region ? place_reports_.own_audience()
                                                              : report_audience::other_regions});
}

void requests_task::apply_routing_document(routing_document_applied const& applied_document)
{
    caller_limits const& limits = applied_document.document->limits;
    caller_server_.set_limits(
        {.max_head_bytes = limits.head_bytes,
         .max_body_bytes = std::min(limits.body_bytes, max_request_body_bytes),
         .request_stall_timeout = limits.head_timeout,
         .idle_timeout = limits.idle_timeout});
    identifies_callers_ = applied_document.document->identifies_callers;
    upstream_client_.set_max_sent_bytes_per_address(
        std::max(max_largest_bodies_per_upstream * limits.body_bytes, min_body_bytes_per_upstream));
    execute(engine_.update_document(applied_document.document, context_.clock.now()));
}

void requests_task::receive(event const& new_event)
{
    time_point const now = context_.clock.now();
    quotas_.receive(new_event);
    if (auto const* const applied_document = std::get_if<routing_document_applied>(&new_event)) {
        apply_routing_document(*applied_document);
    }
    else if (auto const* const changed_upstreams = std::get_if<upstreams_changed>(&new_event)) {
        execute(engine_.update_upstreams(*changed_upstreams->upstreams, now));
    }
    else if (std::holds_alternative<registry_refreshed>(new_event)) {
        execute(engine_.resume(now));
    }
    else if (auto const* const members = std::get_if<members_changed>(&new_event)) {
        std::map<instance_name, region_name> entries;
        std::size_t own_region_entries = 0;
        for (member_view const& each : members->members) {
            bool const is_live = each.listed.instance == context_.settings.instance ||
                                 (each.is_reachable() && !each.listed.leaving);
            if (!is_live)
                continue;
            entries.emplace(each.listed.instance, each.listed.region);
            own_region_entries += each.listed.region == context_.settings.region ? 1 : 0;
        }
        report_delays_ = report_delays_for(own_region_entries, entries.size() - own_region_entries);
        place_reports_.update_members(members->members, report_delays_);
        engine_.update_entries(entries);
    }
    else if (auto const* const report = std::get_if<slot_report_received>(&new_event)) {
        if (place_reports_.accept(report->report))
            execute(engine_.handle_slot_report(report->report, now));
    }
    else if (auto const* const sums = std::get_if<place_report_received>(&new_event)) {
        if (place_reports_.accept(sums->report))
            execute(engine_.handle_place_report(sums->report, now));
    }
    else if (auto const* const confirmed = std::get_if<directives_confirmed>(&new_event)) {
        keys_confirmed_at_ = confirmed->fresh_as_of;
        engine_.confirm_keys(confirmed->fresh_as_of);
    }
    else if (auto const* const reachability = std::get_if<store_reachability_changed>(&new_event)) {
        engine_.set_routes_incomplete(!reachability->reachable);
    }
    else if (std::holds_alternative<process_resumed>(new_event)) {
        engine_.suspend(now + max_suspension);
    }
    else if (auto const* const stop = std::get_if<stop_begun>(&new_event)) {
        caller_server_.close_after_answers();
        execute(engine_.begin_stop(stop->process_end, now));
    }
    else if (std::holds_alternative<caller_grace_period_ended>(new_event)) {
        engine_.refuse_new_requests();
    }
    else if (std::holds_alternative<process_ending>(new_event)) {
        caller_server_.stop_accepting();
        caller_server_.close_after_answers();
        engine_.refuse_new_requests();
        log_cut_requests();
        execute(engine_.end_all_requests(now));
    }
}

} // namespace burdockstep::gateway
