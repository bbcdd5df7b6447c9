// How requests end: answers, failures, further sends, limits, callers that go.
#include "libraries/forwarding/forwarding_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
/// An entry that knows no configuration, or stops, can't say when a slot is free.
constexpr duration usual_return = std::chrono::milliseconds(100);
/// A failure that the upstream answered is repeated only where the time allows a whole second try.
constexpr double least_time_for_repeat = 1.0;

} // namespace

forwarding_engine::commands
forwarding_engine::take_send_end(request_id id, send_end_report const& report, time_point now)
{
    commands out;
    auto const found = requests_.find(id);
    if (found == requests_.end() || !found->second.at_upstream)
        return out;
    pending& which = found->second;
    which.at_upstream = false;
    unschedule(which);
    service_name const service = which.service;
    auto const track = tracks_.find(which.upstream);
    if (track != tracks_.end()) {
        track->second.note_ended(report, now);
        mark_changed(track->second);
    }
    switch (report.result) {
    case send_result::answered: {
        bool const failed = report.status >= 500;
        if (!failed && track != tracks_.end()) {
            duration const taken = now - which.sent_at - round_trip(track->second);
            service_pool& pool = pools_.at(service);
            work_estimate& estimate = which.familiar ? pool.work : pool.unfamiliar_work;
            if (estimate.typical() > duration::zero()) {
                track->second.note_pace(static_cast<double>(taken.count()) /
                                        static_cast<double>(estimate.typical().count()));
            }
            estimate.note(std::max(taken, duration(1)));
        }
        if (failed && !which.timed_out && is_idempotent(which.which->kind) &&
            may_send_again(which, now)) {
            auto& sent = std::get<dispatched_request>(which.stage);
            which.stage = std::move(sent).run_again();
            if (try_place(which, now, out))
                break;
            // No other upstream has room: this answer is the one that there is.
            which.stage = std::get<waiting_request>(std::move(which.stage)).dispatch();
        }
        ++counters_.answered;
        if (!which.timed_out)
            out.emplace_back(deliver_answer{.id = id});
        finish(which, now);
        break;
    }
    case send_result::shed:
        take_not_run(which, not_run_evidence::from_refusal(), refusal::no_room, now, out);
        break;
    case send_result::other_instance:
        out.emplace_back(tell_leaving{.upstream = which.upstream});
        take_not_run(which, not_run_evidence::from_refusal(), refusal::no_room, now, out);
        break;
    case send_result::not_connected:
        take_not_run(which, not_run_evidence::from_failed_connect(), refusal::no_room, now, out);
        break;
    case send_result::broken:
        take_lost(which, now, out);
        break;
    }
    place_waiting(service, now, out);
    return out;
}

bool forwarding_engine::may_send_again(pending const& which, time_point now)
{
    if (which.sends >= which.which->most_upstreams)
        return false;
    duration const needed =
        std::chrono::duration_cast<duration>(expected_work(which, false) * least_time_for_repeat);
    if (which.limit - now < needed)
        return false;
    if (pools_.at(which.service).retries.try_spend(options_.retries, now))
        return true;
    ++counters_.retries_denied;
    return false;
}

void forwarding_engine::take_not_run(pending& which, not_run_evidence const& evidence, refusal why,
                                     time_point now, commands& out)
{
    if (which.timed_out) {
        finish(which, now);
        return;
    }
    auto& sent = std::get<dispatched_request>(which.stage);
    which.stage = std::move(sent).take_back(evidence);
    if (!may_send_again(which, now)) {
        end(which, why, now, out);
        return;
    }
    if (!try_place(which, now, out))
        wait_again(which, now, out);
}

void forwarding_engine::take_lost(pending& which, time_point now, commands& out)
{
    if (which.timed_out) {
        finish(which, now);
        return;
    }
    if (!is_idempotent(which.which->kind) || !may_send_again(which, now)) {
        end(which, refusal::upstream_failed, now, out);
        return;
    }
    auto& sent = std::get<dispatched_request>(which.stage);
    which.stage = std::move(sent).run_again();
    if (!try_place(which, now, out))
        wait_again(which, now, out);
}

void forwarding_engine::end(pending& which, refusal why, time_point now, commands& out)
{
    refuse_request answer{.id = which.arrival.id, .why = why, .retry_after = {}};
    if (auto* const waiting = std::get_if<waiting_request>(&which.stage)) {
        auto const reason =
            why == refusal::no_room ? refusal_reason::no_room : refusal_reason::no_upstream;
        refusal_outcome const outcome = std::move(*waiting).refuse(reason);
        bool const not_run = std::holds_alternative<not_run_outcome>(outcome);
        answer.status = not_run ? status_unavailable : status_bad_gateway;
        if (not_run && why == refusal::no_route)
            answer.status = status_not_found;
        else if (not_run)
            answer.retry_after = retry_after(which);
    }
    else {
        answer.status = why == refusal::answer_timeout ? status_timeout : status_bad_gateway;
    }
    ++(answer.status == status_unavailable ? counters_.refused : counters_.failed);
    out.emplace_back(answer);
    finish(which, now);
}

std::optional<duration> forwarding_engine::retry_after(pending const& which)
{
    if (which.which == nullptr)
        return usual_return;
    return admission_.retry_after(which.limit - which.arrived);
}

void forwarding_engine::end_at_limit(pending& which, time_point now, commands& out)
{
    request_id const id = which.arrival.id;
    if (!which.timed_out) {
        // The caller gets its final answer now; the upstream gets a moment to answer the passed
        // deadline itself, which keeps the connection.
        which.timed_out = true;
        ++counters_.failed;
        out.emplace_back(refuse_request{
            .id = id, .status = status_timeout, .why = refusal::answer_timeout, .retry_after = {}});
        schedule(which, now + options_.deadline_grace + options_.usual_region_delay * 3);
        return;
    }
    out.emplace_back(cancel_request_send{.id = id});
    auto const track = tracks_.find(which.upstream);
    if (track != tracks_.end()) {
        track->second.note_ended({.result = send_result::broken, .load = {}}, now);
        mark_changed(track->second);
    }
    service_name const service = which.service;
    finish(which, now);
    place_waiting(service, now, out);
}

forwarding_engine::commands forwarding_engine::take_caller_gone(request_id id, time_point now)
{
    commands out;
    auto const found = requests_.find(id);
    if (found == requests_.end())
        return out;
    pending& which = found->second;
    ++counters_.callers_gone;
    if (!which.at_upstream) {
        std::erase(waiting_[which.service], id);
        finish(which, now);
        return out;
    }
    // Work that may run once at most runs on: its outcome matters though nobody waits for it.
    if (!is_idempotent(which.which->kind)) {
        which.timed_out = true;
        return out;
    }
    out.emplace_back(cancel_request_send{.id = id});
    auto const track = tracks_.find(which.upstream);
    if (track != tracks_.end()) {
        track->second.note_cancelled();
        mark_changed(track->second);
    }
    service_name const service = which.service;
    finish(which, now);
    place_waiting(service, now, out);
    return out;
}

void forwarding_engine::finish(pending& which, time_point now)
{
    last_ended_ = {.caller_id = which.arrival.caller_id,
                   .route = which.which == nullptr ? std::string() : which.which->name,
                   .service = which.service,
                   .upstream = which.upstream,
                   .sends = which.sends,
                   .held = which.sends == 0 ? now - which.arrived : which.held,
                   .total = now - which.arrived,
                   .version = which.document ? which.document->version : configuration_version{}};
    unschedule(which);
    requests_.erase(which.arrival.id);
}

} // namespace burdockstep
