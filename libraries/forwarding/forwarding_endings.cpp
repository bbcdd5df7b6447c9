// Forwarding engine: ends of sends and requests (answers, failures, further sends, deadlines and
// callers that disconnect).
#include "libraries/forwarding/forwarding_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
constexpr int status_request_timeout = 408;
constexpr int status_too_many_requests = 429;
constexpr int first_server_error_status = 500;
/// Retry delay of a request without a route, for which this entry can't say when a slot will be
/// free.
constexpr duration default_retry_after = std::chrono::milliseconds(100);
/// A further send needs at least this multiple of the expected service time before the deadline,
/// so that it can complete.
constexpr double min_service_times_for_repeat = 1.0;

/// The status with which a request that hasn't run is refused.
int status_of_refusal(refusal reason)
{
    switch (reason) {
    case refusal::no_route:
        return status_not_found;
    case refusal::unknown_key:
        return status_unauthorized;
    case refusal::over_quota:
        return status_too_many_requests;
    default:
        return status_unavailable;
    }
}

/// True for statuses that tell callers that their request has not run and never will.
bool promises_not_run(int status)
{
    return status == status_request_timeout || status == status_too_many_requests ||
           status == status_unavailable;
}

} // namespace

forwarding_engine::commands
forwarding_engine::handle_send_end(request_id id, send_end_report const& report, time_point now)
{
    commands out;
    auto const found = requests_.find(id);
    if (found == requests_.end() || !found->second.at_upstream)
        return out;
    pending_request& request = found->second;
    request.at_upstream = false;
    unschedule(request);
    service_name const service = request.service;
    ++counters_.send_ends[static_cast<std::size_t>(report.result)];
    record_send_end(request, report, now);
    switch (report.result) {
    case send_result::answered:
        record_transfer(request, report.body_bytes);
        handle_answer(request, report.status, now, out);
        break;
    case send_result::shed:
        handle_not_run(request, not_run_evidence::from_refusal(), refusal::no_room, now, out);
        break;
    case send_result::other_instance:
        if (upstream_tracker* const tracker = tracker_of_send(request))
            mark_leaving(*tracker, out);
        handle_not_run(request, not_run_evidence::from_refusal(), refusal::no_room, now, out);
        break;
    case send_result::not_connected:
        handle_not_run(request, not_run_evidence::from_failed_connect(), refusal::no_room, now,
                       out);
        break;
    case send_result::broken:
        handle_lost_send(request, now, out);
        break;
    case send_result::not_permitted:
        handle_unbegun_send(request, refusal::unconfirmed_key, now, out);
        break;
    case send_result::no_room_here:
        handle_unbegun_send(request, refusal::no_room, now, out);
        break;
    }
    place_waiting(service, now, out);
    return out;
}

void forwarding_engine::handle_answer(pending_request& request, int status, time_point now,
                                      commands& out)
{
    bool const failed = status >= first_server_error_status;
    if (!failed)
        record_service_time(request, now);
    if (request.discards_answer) {
        ++counters_.answered;
        finish(request, now);
        return;
    }
    if (failed && is_idempotent(request.matched_route->kind) && may_send_again(request, now)) {
        auto& dispatched = std::get<dispatched_request>(request.stage);
        request.stage = std::move(dispatched).return_to_waiting_without_evidence();
        if (try_place(request, now, out))
            return;
        // No other upstream has a free slot, so the error answer is delivered to the caller.
        request.stage = std::get<waiting_request>(std::move(request.stage)).dispatch();
    }
    if (promises_not_run(status)) {
        // The upstream hasn't proved it, so the request may have run.
        end_with_refusal(request, refusal::upstream_failed, now, out);
        return;
    }
    ++counters_.answered;
    out.emplace_back(deliver_answer{.id = request.arrival.id});
    finish(request, now);
}

void forwarding_engine::record_transfer(pending_request const& request, std::size_t body_bytes)
{
    if (auto const pool = pools_.find(request.service); pool != pools_.end())
        pool->second.transferred.add(body_bytes);
    auto const tracker = trackers_.find(request.upstream);
    if (tracker != trackers_.end())
        counters_.body_bytes[static_cast<std::size_t>(tracker->second.proximity())] += body_bytes;
}

void forwarding_engine::record_service_time(pending_request const& request, time_point now)
{
    upstream_tracker* const tracker = tracker_of_send(request);
    if (tracker == nullptr)
        return;
    duration const service_time = now - request.sent_at - expected_round_trip(*tracker);
    service_pool& pool = pools_.at(request.service);
    service_time_estimate& estimate =
        request.object_is_recent ? pool.recent_object_service_time : pool.new_object_service_time;
    if (estimate.median() > duration::zero()) {
        double const ratio = static_cast<double>(service_time.count()) /
                             static_cast<double>(estimate.median().count());
        tracker->record_service_time_ratio(ratio, request.sent_at, now);
        watch_pace(*tracker);
    }
    estimate.add_sample(std::max(service_time, duration(1)));
}

bool forwarding_engine::may_send_again(pending_request const& request, time_point now)
{
    if (request.sends >= request.matched_route->max_upstreams ||
        !stop_admission_.may_send(request.deadline))
        return false;
    duration const needed_time = std::chrono::duration_cast<duration>(
        expected_service_time(request, false) * min_service_times_for_repeat);
    if (request.deadline - now < needed_time)
        return false;
    if (pools_.at(request.service).retry_budget.try_spend(options_.retry_budget, now))
        return true;
    ++counters_.retries_denied;
    return false;
}

void forwarding_engine::handle_not_run(pending_request& request, not_run_evidence const& evidence,
                                       refusal reason, time_point now, commands& out)
{
    if (request.discards_answer) {
        finish(request, now);
        return;
    }
    auto& dispatched = std::get<dispatched_request>(request.stage);
    request.stage = std::move(dispatched).return_to_waiting(evidence);
    if (!may_send_again(request, now)) {
        end_with_refusal(request, reason, now, out);
        return;
    }
    if (!try_place(request, now, out))
        hold_or_refuse(request, now, out);
}

void forwarding_engine::handle_lost_send(pending_request& request, time_point now, commands& out)
{
    if (request.discards_answer) {
        finish(request, now);
        return;
    }
    if (!is_idempotent(request.matched_route->kind) || !may_send_again(request, now)) {
        end_with_refusal(request, refusal::upstream_failed, now, out);
        return;
    }
    auto& dispatched = std::get<dispatched_request>(request.stage);
    request.stage = std::move(dispatched).return_to_waiting_without_evidence();
    if (!try_place(request, now, out))
        hold_or_refuse(request, now, out);
}

void forwarding_engine::end_with_refusal(pending_request& request, refusal reason, time_point now,
                                         commands& out)
{
    refuse_request answer{.id = request.arrival.id, .reason = reason, .retry_after = {}};
    if (auto* const waiting = std::get_if<waiting_request>(&request.stage)) {
        bool const lacks_room = reason == refusal::no_room || reason == refusal::upstreams_paused;
        auto const outcome_reason =
            lacks_room ? refusal_reason::no_room : refusal_reason::no_upstream;
        refusal_outcome const outcome = std::move(*waiting).refuse(outcome_reason);
        bool const not_run = std::holds_alternative<not_run_outcome>(outcome);
        answer.status = not_run ? status_of_refusal(reason) : status_bad_gateway;
        bool const may_succeed_later =
            answer.status == status_unavailable || answer.status == status_too_many_requests;
        if (may_succeed_later)
            answer.retry_after = retry_after(request, reason, now);
        if (not_run)
            return_quota_token(request, now);
    }
    else {
        answer.status = reason == refusal::answer_timeout ? status_timeout : status_bad_gateway;
    }
    ++(promises_not_run(answer.status) ? counters_.refused : counters_.failed);
    ++counters_.refusals[static_cast<std::size_t>(reason)];
    out.emplace_back(answer);
    finish(request, now);
}

std::optional<duration> forwarding_engine::retry_after(pending_request const& request,
                                                       refusal reason, time_point now)
{
    if (reason == refusal::stopping)
        return options_.stopping_retry_delay;
    if (reason == refusal::over_quota || reason == refusal::unknown_quota)
        return request.quota_retry_after;
    // Another entry, or this one after its next proof, takes it.
    if (request.matched_route == nullptr || reason == refusal::unconfirmed_key)
        return default_retry_after;
    time_point const accepted_from = acceptance_time(request).value_or(now);
    return admission_.retry_after(std::max(accepted_from - now, duration::zero()),
                                  request.deadline - now);
}

upstream_tracker* forwarding_engine::tracker_of_send(pending_request const& request)
{
    auto const found = trackers_.find(request.upstream);
    if (found == trackers_.end() || found->second.incarnation() != request.incarnation)
        return nullptr;
    return &found->second;
}

void forwarding_engine::record_send_end(pending_request const& request,
                                        send_end_report const& report, time_point now)
{
    auto const found = trackers_.find(request.upstream);
    if (found == trackers_.end())
        return;
    bool const tells_of_upstream = found->second.incarnation() == request.incarnation &&
                                   report.result != send_result::not_permitted &&
                                   report.result != send_result::no_room_here;
    if (tells_of_upstream)
        found->second.record_send_end(report, now);
    else
        found->second.record_cancelled_send(); // How it ended says nothing about the present one.
    if (found->second.is_ejected())
        ejected_upstreams_.insert(request.upstream);
    mark_count_changed(found->second);
}

bool forwarding_engine::mark_leaving(upstream_tracker& tracker, commands& out)
{
    if (!tracker.mark_leaving())
        return false;
    ++counters_.leaving_notices;
    out.emplace_back(announce_upstream_leaving{.upstream = tracker.known().registration.name,
                                               .incarnation = tracker.incarnation()});
    return true;
}

forwarding_engine::commands forwarding_engine::handle_notice(upstream_name const& upstream,
                                                             upstream_incarnation incarnation,
                                                             upstream_notice const& notice,
                                                             time_point now)
{
    commands out;
    auto const found = trackers_.find(upstream);
    if (notice.is_empty() || found == trackers_.end() || found->second.incarnation() != incarnation)
        return out;
    bool const leaves_now = notice.leaving && mark_leaving(found->second, out);
    if (notice.retry_after) {
        ++counters_.pause_notices;
        found->second.record_requested_pause(*notice.retry_after, now);
        watch_pace(found->second);
    }
    if (leaves_now || notice.retry_after)
        refuse_hopeless_waiting(found->second.known().registration.service, now, out);
    return out;
}

std::optional<time_point> forwarding_engine::acceptance_time(pending_request const& request) const
{
    std::optional<time_point> earliest;
    auto const pool = pools_.find(request.service);
    if (pool == pools_.end())
        return earliest;
    for (upstream_tracker const* const each : pool->second.upstreams) {
        if (!each->known().is_usable() || !may_run_in(request, each->known().region))
            continue;
        time_point const end = each->requested_pause_end();
        earliest = earliest ? std::min(*earliest, end) : end;
    }
    return earliest;
}

void forwarding_engine::refuse_hopeless_waiting(service_name const& service, time_point now,
                                                commands& out)
{
    if (now < suspended_until_)
        return;
    auto const waiting = waiting_requests_[service];
    for (request_id const id : waiting) {
        pending_request& request = requests_.at(id);
        std::optional<time_point> const accepted_from = acceptance_time(request);
        if (accepted_from && *accepted_from <= request.hold_until)
            continue;
        std::erase(waiting_requests_[service], id);
        end_with_refusal(request, accepted_from ? refusal::upstreams_paused : refusal::no_upstream,
                         now, out);
    }
}

void forwarding_engine::handle_deadline(pending_request& request, time_point now, commands& out)
{
    request_id const id = request.arrival.id;
    if (!request.discards_answer) {
        // The caller is answered now. The send is cancelled only after a grace period: an upstream
        // that itself answers the passed deadline within it leaves the connection reusable.
        request.discards_answer = true;
        ++counters_.failed;
        ++counters_.refusals[static_cast<std::size_t>(refusal::answer_timeout)];
        out.emplace_back(refuse_request{.id = id,
                                        .status = status_timeout,
                                        .reason = refusal::answer_timeout,
                                        .retry_after = {}});
        schedule(request, now + options_.deadline_grace + options_.default_region_round_trip * 3);
        return;
    }
    out.emplace_back(cancel_request_send{.id = id});
    record_send_end(request, {.result = send_result::broken, .load = {}}, now);
    service_name const service = request.service;
    finish(request, now);
    place_waiting(service, now, out);
}

forwarding_engine::commands forwarding_engine::handle_caller_disconnect(request_id id,
                                                                        time_point now)
{
    commands out;
    auto const found = requests_.find(id);
    if (found == requests_.end())
        return out;
    pending_request& request = found->second;
    ++counters_.callers_gone;
    if (!request.at_upstream) {
        std::erase(waiting_requests_[request.service], id);
        if (request.sends == 0)
            return_quota_token(request, now);
        finish(request, now);
        return out;
    }
    // A non-idempotent request isn't cancelled: its outcome matters even without a caller.
    if (!is_idempotent(request.matched_route->kind)) {
        request.discards_answer = true;
        return out;
    }
    out.emplace_back(cancel_request_send{.id = id});
    auto const tracker = trackers_.find(request.upstream);
    if (tracker != trackers_.end()) {
        tracker->second.record_cancelled_send();
        mark_count_changed(tracker->second);
    }
    service_name const service = request.service;
    finish(request, now);
    place_waiting(service, now, out);
    return out;
}

void forwarding_engine::finish(pending_request& request, time_point now)
{
    last_finished_ = {
        .caller_id = request.arrival.caller_id,
        .route = request.matched_route == nullptr ? std::string() : request.matched_route->name,
        .service = request.service,
        .upstream = request.upstream,
        .sends = request.sends,
        .hold_time = request.sends == 0 ? now - request.arrived : request.hold_time,
        .total_time = now - request.arrived,
        .version = request.document ? request.document->version : configuration_version{}};
    unschedule(request);
    requests_.erase(request.arrival.id);
}

} // namespace burdockstep
