/// How a request ends: answers, refusals, losses, and callers that go away.
#include "libraries/entry/entry_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

entry_engine::commands entry_engine::take_head(request_id id, head_kind kind, time_point now)
{
    commands out;
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return out;
    call& which = found->second;
    which.head = kind;
    if (which.position == call_position::at_upstream && kind == head_kind::answer)
        pools_.at(which.arrival.service).note_head(id, now);
    if (kind == head_kind::answer) {
        which.answering = true;
        out.emplace_back(forward_answer{.id = id});
    }
    return out;
}

entry_engine::commands entry_engine::take_end(request_id id, send_end end,
                                              std::optional<kept_answer> answer, time_point now)
{
    commands out;
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return out;
    call& which = found->second;
    note_spill_ended(which);
    bool const whole = end == send_end::complete && which.head.has_value();
    if (whole && *which.head == head_kind::answer) {
        ++counters_.answered;
        release_slot(which, pool_result::answered, now, out);
        settle(which, spent_state::answered, std::move(answer), out);
        out.emplace_back(complete_answer{.id = id});
        erase(id);
        return out;
    }
    if (whole && *which.head == head_kind::not_run) {
        release_slot(which, pool_result::shed, now, out);
        take_refusal(which, not_run_evidence::from_refusal(), now, out);
        return out;
    }
    if (whole) {
        end_unknown(which, refusal_reason::upstream_lost, out);
        return out;
    }
    if (end == send_end::not_connected) {
        release_slot(which, pool_result::not_connected, now, out);
        take_refusal(which, not_run_evidence::from_failed_connect(), now, out);
        return out;
    }
    release_slot(which, pool_result::lost, now, out);
    take_loss(which, now, out);
    return out;
}

void entry_engine::take_refusal(call& which, not_run_evidence const& evidence, time_point now,
                                commands& out)
{
    bool const was_ticket_holder =
        which.arrival.presented && which.arrival.presented->incarnation != options_.incarnation;
    if (was_ticket_holder) {
        // Nobody but the holder may run it. Its own refusal holds; but when there is no connection
        // to it, an earlier copy may have run.
        if (evidence.reason() == refusal_reason::not_connected)
            end_unknown(which, refusal_reason::entry_lost, out);
        else
            end_refused(which,
                        std::move(std::get<dispatched_request>(which.stage)).refuse(evidence), out);
        return;
    }
    bool const peer_has_no_room = which.position == call_position::at_peer &&
                                  evidence.reason() != refusal_reason::not_connected;
    dispatched_request dispatched = std::move(std::get<dispatched_request>(which.stage));
    bool const may_retry = which.sends < options_.most_sends && now < which.deadline &&
                           !which.caller_gone && retries_.try_spend();
    if (!may_retry) {
        end_refused(which, std::move(dispatched).refuse(evidence), out);
        return;
    }
    ++counters_.retries;
    which.stage = std::move(dispatched).take_back(evidence);
    if (!peer_has_no_room) {
        queue_locally(which, now, out);
        return;
    }
    // The owner of the full pool has tried the other regions; a spill may try the next one.
    bool const may_try_others = owns_pool(which.arrival.service);
    if (!may_try_others || !spill(which, now, out))
        refuse_waiting(which, refusal_reason::no_room, out);
}

bool entry_engine::owns_pool(service_name const& service) const
{
    member_view const* const owner =
        lookups_.owner({.service = service, .region = options_.region});
    return owner && owner->incarnation == options_.incarnation;
}

void entry_engine::take_loss(call& which, time_point now, commands& out)
{
    if (which.answering) {
        ++counters_.cut;
        settle(which, spent_state::unknown, std::nullopt, out);
        out.emplace_back(cut_answer{.id = which.arrival.id});
        erase(which.arrival.id);
        return;
    }
    bool const may_retry = which.idempotent && which.sends < options_.most_sends &&
                           now < which.deadline && !which.caller_gone && retries_.try_spend();
    if (!may_retry) {
        end_unknown(which, refusal_reason::upstream_lost, out);
        return;
    }
    ++counters_.retries;
    // An idempotent request may run twice, so a loss needs no proof to be tried again.
    which.stage = std::move(std::get<dispatched_request>(which.stage)).run_again();
    queue_locally(which, now, out);
}

void entry_engine::end_refused(call& which, refusal_outcome const& outcome, commands& out)
{
    if (auto const* const not_run = std::get_if<not_run_outcome>(&outcome))
        end_not_run(which, *not_run, out);
    else
        end_unknown(which, std::get<unknown_outcome>(outcome).reason(), out);
}

void entry_engine::end_not_run(call& which, not_run_outcome const& outcome, commands& out)
{
    ++counters_.not_run;
    settle(which, spent_state::not_run, std::nullopt, out);
    std::optional<ticket> next;
    if (!which.idempotent)
        next = next_ticket();
    out.emplace_back(
        reply_not_run{.id = which.arrival.id, .reason = outcome.reason(), .next = next});
    erase(which.arrival.id);
}

void entry_engine::refuse_waiting(call& which, refusal_reason reason, commands& out)
{
    end_refused(which, std::move(std::get<waiting_request>(which.stage)).refuse(reason), out);
}

void entry_engine::end_unknown(call& which, refusal_reason reason, commands& out)
{
    ++counters_.unknown;
    settle(which, spent_state::unknown, std::nullopt, out);
    out.emplace_back(reply_unknown{.id = which.arrival.id, .reason = reason});
    erase(which.arrival.id);
}

void entry_engine::settle(call const& which, spent_state state, std::optional<kept_answer> answer,
                          commands& out)
{
    auto const& presented = which.arrival.presented;
    if (!presented || presented->incarnation != options_.incarnation)
        return;
    ledger_.settle(*presented, state, std::move(answer));
    std::vector<request_id> repeats;
    for (request_id const& id : repeats_) {
        if (calls_.at(id).arrival.presented == presented)
            repeats.push_back(id);
    }
    for (request_id const& id : repeats) {
        call& repeat = calls_.at(id);
        judge_repeat(repeat, ledger_.judge_again(*presented, repeat.arrival.request), out);
    }
}

void entry_engine::release_slot(call const& which, pool_result ended, time_point now, commands& out)
{
    auto const pool = pools_.find(which.arrival.service);
    if (pool == pools_.end())
        return;
    apply(pool->second.finish(which.arrival.id, ended, now), now, out);
}

entry_engine::commands entry_engine::take_caller_gone(request_id id, time_point now)
{
    commands out;
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return out;
    call& which = found->second;
    which.caller_gone = true;
    if (which.position == call_position::waiting_for_first) {
        erase(id);
        return out;
    }
    if (which.position == call_position::waiting) {
        auto const pool = pools_.find(which.arrival.service);
        if (pool != pools_.end())
            pool->second.cancel_queued(id);
        refuse_waiting(which, refusal_reason::caller_gone, out);
        return out;
    }
    // A request that isn't idempotent runs on, so that a repeat of its ticket finds the answer.
    if (!which.idempotent)
        return out;
    out.emplace_back(cancel_send{.id = id});
    note_spill_ended(which);
    release_slot(which, pool_result::cancelled, now, out);
    settle(which, spent_state::unknown, std::nullopt, out);
    erase(id);
    return out;
}

} // namespace burdockstep
