/// Completes requests: answers, refusals, lost sends and disconnected callers.
#include "libraries/entry/entry_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

entry_engine::commands entry_engine::handle_answer_head(request_id id, answer_head_kind kind,
                                                        time_point now)
{
    commands out;
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return out;
    call_state& call = found->second;
    call.head = kind;
    if (call.location == call_location::sent_to_upstream && kind == answer_head_kind::answer)
        pools_.at(call.arrival.service).note_head(id, now);
    if (kind == answer_head_kind::answer) {
        call.answer_started = true;
        out.emplace_back(forward_answer{.id = id});
    }
    return out;
}

entry_engine::commands entry_engine::handle_send_end(request_id id, send_end end,
                                                     std::optional<retained_answer> answer,
                                                     time_point now)
{
    commands out;
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return out;
    call_state& call = found->second;
    uncount_spill(call);
    bool const answer_is_complete = end == send_end::complete && call.head.has_value();
    if (answer_is_complete && *call.head == answer_head_kind::answer) {
        ++counters_.answered;
        release_slot(call, pool_result::answered, now, out);
        record_outcome(call, ticketed_request_state::answered, std::move(answer), out);
        out.emplace_back(complete_answer{.id = id});
        erase(id);
        return out;
    }
    if (answer_is_complete && *call.head == answer_head_kind::not_run) {
        release_slot(call, pool_result::shed, now, out);
        retry_or_refuse(call, not_run_evidence::from_refusal(), now, out);
        return out;
    }
    if (answer_is_complete) {
        end_unknown(call, refusal_reason::upstream_lost, out);
        return out;
    }
    if (end == send_end::not_connected) {
        release_slot(call, pool_result::not_connected, now, out);
        retry_or_refuse(call, not_run_evidence::from_failed_connect(), now, out);
        return out;
    }
    release_slot(call, pool_result::lost, now, out);
    handle_lost_send(call, now, out);
    return out;
}

void entry_engine::retry_or_refuse(call_state& call, not_run_evidence const& evidence,
                                   time_point now, commands& out)
{
    bool const was_sent_to_ticket_entry =
        call.arrival.presented && call.arrival.presented->incarnation != options_.incarnation;
    if (was_sent_to_ticket_entry) {
        // Only the entry that the ticket names may run the request, so it is not retried elsewhere.
        // That entry's refusal is final, but after a failed connect an earlier copy may have run.
        if (evidence.reason() == refusal_reason::not_connected)
            end_unknown(call, refusal_reason::entry_lost, out);
        else
            end_refused(call, std::move(std::get<dispatched_request>(call.stage)).refuse(evidence),
                        out);
        return;
    }
    bool const refused_by_peer = call.location == call_location::sent_to_peer &&
                                 evidence.reason() != refusal_reason::not_connected;
    dispatched_request dispatched = std::move(std::get<dispatched_request>(call.stage));
    bool const may_retry = call.sends < options_.max_sends && now < call.deadline &&
                           !call.caller_gone && retry_budget_.try_spend();
    if (!may_retry) {
        end_refused(call, std::move(dispatched).refuse(evidence), out);
        return;
    }
    ++counters_.retries;
    call.stage = std::move(dispatched).return_to_waiting(evidence);
    if (!refused_by_peer) {
        submit_to_local_pool(call, now, out);
        return;
    }
    // A pool's owner that refuses a forwarded call has already tried the other regions. If this
    // entry owns the local pool, the refused send was a spill, and the next region may have free
    // slots.
    bool const may_spill_again = owns_pool(call.arrival.service);
    if (!may_spill_again || !spill(call, now, out))
        refuse_waiting(call, refusal_reason::no_room, out);
}

bool entry_engine::owns_pool(service_name const& service) const
{
    member_view const* const owner =
        lookups_.owner({.service = service, .region = options_.region});
    return owner && owner->incarnation == options_.incarnation;
}

void entry_engine::handle_lost_send(call_state& call, time_point now, commands& out)
{
    if (call.answer_started) {
        ++counters_.truncated_answers;
        record_outcome(call, ticketed_request_state::unknown, std::nullopt, out);
        out.emplace_back(truncate_answer{.id = call.arrival.id});
        erase(call.arrival.id);
        return;
    }
    bool const may_retry = call.idempotent && call.sends < options_.max_sends &&
                           now < call.deadline && !call.caller_gone && retry_budget_.try_spend();
    if (!may_retry) {
        end_unknown(call, refusal_reason::upstream_lost, out);
        return;
    }
    ++counters_.retries;
    // An idempotent request may run twice, so it is retried without evidence that it did not run.
    call.stage =
        std::move(std::get<dispatched_request>(call.stage)).return_to_waiting_without_evidence();
    submit_to_local_pool(call, now, out);
}

void entry_engine::end_refused(call_state& call, refusal_outcome const& outcome, commands& out)
{
    if (auto const* const not_run = std::get_if<not_run_outcome>(&outcome))
        end_not_run(call, *not_run, out);
    else
        end_unknown(call, std::get<unknown_outcome>(outcome).reason(), out);
}

void entry_engine::end_not_run(call_state& call, not_run_outcome const& outcome, commands& out)
{
    ++counters_.not_run;
    record_outcome(call, ticketed_request_state::not_run, std::nullopt, out);
    std::optional<ticket> next;
    if (!call.idempotent)
        next = next_ticket();
    out.emplace_back(
        reply_not_run{.id = call.arrival.id, .reason = outcome.reason(), .next = next});
    erase(call.arrival.id);
}

void entry_engine::refuse_waiting(call_state& call, refusal_reason reason, commands& out)
{
    end_refused(call, std::move(std::get<waiting_request>(call.stage)).refuse(reason), out);
}

void entry_engine::end_unknown(call_state& call, refusal_reason reason, commands& out)
{
    ++counters_.unknown;
    record_outcome(call, ticketed_request_state::unknown, std::nullopt, out);
    out.emplace_back(reply_unknown{.id = call.arrival.id, .reason = reason});
    erase(call.arrival.id);
}

void entry_engine::record_outcome(call_state const& call, ticketed_request_state state,
                                  std::optional<retained_answer> answer, commands& out)
{
    auto const& presented = call.arrival.presented;
    if (!presented || presented->incarnation != options_.incarnation)
        return;
    redeemed_tickets_.record_outcome(*presented, state, std::move(answer));
    std::vector<request_id> duplicates;
    for (request_id const& id : waiting_duplicates_) {
        if (calls_.at(id).arrival.presented == presented)
            duplicates.push_back(id);
    }
    for (request_id const& id : duplicates) {
        call_state& duplicate = calls_.at(id);
        handle_duplicate(duplicate,
                         redeemed_tickets_.check_redeemed(*presented, duplicate.arrival.request),
                         out);
    }
}

void entry_engine::release_slot(call_state const& call, pool_result send_result, time_point now,
                                commands& out)
{
    auto const pool = pools_.find(call.arrival.service);
    if (pool == pools_.end())
        return;
    apply_pool_commands(pool->second.finish(call.arrival.id, send_result, now), now, out);
}

entry_engine::commands entry_engine::handle_caller_gone(request_id id, time_point now)
{
    commands out;
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return out;
    call_state& call = found->second;
    call.caller_gone = true;
    if (call.location == call_location::waiting_for_original) {
        erase(id);
        return out;
    }
    if (call.location == call_location::waiting) {
        auto const pool = pools_.find(call.arrival.service);
        if (pool != pools_.end())
            pool->second.cancel_queued(id);
        refuse_waiting(call, refusal_reason::caller_gone, out);
        return out;
    }
    // A non-idempotent request continues, so that a duplicate with its ticket receives the answer.
    if (!call.idempotent)
        return out;
    out.emplace_back(cancel_send{.id = id});
    uncount_spill(call);
    release_slot(call, pool_result::cancelled, now, out);
    record_outcome(call, ticketed_request_state::unknown, std::nullopt, out);
    erase(id);
    return out;
}

} // namespace burdockstep
