// Forwarding engine: who sends a request, and whether its team may.
#include "libraries/forwarding/forwarding_engine.hpp"

#include <algorithm>

namespace burdockstep {

std::optional<refusal> forwarding_engine::identify_caller(pending_request& request,
                                                          time_point now) const
{
    if (!document_->identifies_callers || request.matched_route->is_public)
        return std::nullopt;
    if (request.arrival.key)
        request.team = teams_.find(*request.arrival.key);
    if (request.team == nullptr)
        return key_trust_.may_deny(now) ? refusal::unknown_key : refusal::unconfirmed_key;
    if (!key_trust_.may_act_on_keys(now))
        return refusal::unconfirmed_key;
    return std::nullopt;
}

bool forwarding_engine::may_act_on_key(pending_request const& request, time_point now) const
{
    return request.team == nullptr || key_trust_.may_act_on_keys(now);
}

void forwarding_engine::refuse_unconfirmed_waiting(time_point now, commands& out)
{
    if (key_trust_.may_act_on_keys(now))
        return;
    for (auto& [service, ids] : waiting_requests_) {
        auto const waiting = ids;
        for (request_id const id : waiting) {
            pending_request& request = requests_.at(id);
            if (request.team == nullptr)
                continue;
            std::erase(ids, id);
            end_with_refusal(request, refusal::unconfirmed_key, now, out);
        }
    }
}

void forwarding_engine::handle_unbegun_send(pending_request& request, refusal reason,
                                            time_point now, commands& out)
{
    if (request.discards_answer) {
        finish(request, now);
        return;
    }
    auto& dispatched = std::get<dispatched_request>(request.stage);
    request.stage =
        std::move(dispatched).return_to_waiting(not_run_evidence::from_send_not_begun());
    end_with_refusal(request, reason, now, out);
}

bool forwarding_engine::take_quota_token(pending_request& request, time_point now, commands& out)
{
    bool const is_limited = request.team != nullptr && request.team->quota.is_limited();
    if (!is_limited || quota_gate_ == nullptr)
        return true;
    quota_answer const answer = quota_gate_->ask(request.arrival.id, *request.team, now);
    switch (answer.verdict) {
    case quota_verdict::admitted:
        request.holds_quota_token = true;
        return true;
    case quota_verdict::pending:
        request.awaits_quota = true;
        request.hold_until = request.deadline;
        schedule(request, request.deadline);
        return false;
    case quota_verdict::over_quota:
    case quota_verdict::undecided:
        break;
    }
    refuse_without_token(request, answer, now, out);
    return false;
}

void forwarding_engine::refuse_without_token(pending_request& request, quota_answer const& answer,
                                             time_point now, commands& out)
{
    request.quota_retry_after = answer.retry_after;
    bool const is_over_quota = answer.verdict == quota_verdict::over_quota;
    end_with_refusal(request, is_over_quota ? refusal::over_quota : refusal::unknown_quota, now,
                     out);
}

void forwarding_engine::return_quota_token(pending_request& request, time_point now)
{
    if (!request.awaits_quota && !request.holds_quota_token)
        return;
    request.awaits_quota = false;
    request.holds_quota_token = false;
    quota_gate_->give_back(request.arrival.id, *request.team, now);
}

forwarding_engine::commands
forwarding_engine::handle_quota_answer(request_id id, quota_answer const& answer, time_point now)
{
    commands out;
    auto const found = requests_.find(id);
    if (found == requests_.end() || !found->second.awaits_quota)
        return out;
    pending_request& request = found->second;
    request.awaits_quota = false;
    unschedule(request);
    if (answer.verdict != quota_verdict::admitted) {
        refuse_without_token(request, answer, now, out);
        return out;
    }
    request.holds_quota_token = true;
    if (!stop_admission_.may_send(request.deadline)) {
        end_with_refusal(request, refusal::stopping, now, out);
        return out;
    }
    place_new_request(request, now, out);
    return out;
}

std::optional<caller_identity>
forwarding_engine::identity_of_caller(pending_request const& request) const
{
    if (!request.document->identifies_callers)
        return std::nullopt;
    return caller_identity{.team = request.team == nullptr ? team_name() : request.team->name};
}

std::pair<unsigned, unsigned> forwarding_engine::urgency_of(pending_request const& request)
{
    unsigned const route_rank = request.matched_route->urgency_rank;
    return {request.team == nullptr ? route_rank : request.team->urgency_rank, route_rank};
}

bool forwarding_engine::may_run_in(pending_request const& request, region_name const& region) const
{
    auto const allows = [&](std::vector<region_name> const& homes) {
        return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
    };
    return allows(request.matched_route->home_regions) &&
           (request.team == nullptr || allows(request.team->home_regions));
}

} // namespace burdockstep
