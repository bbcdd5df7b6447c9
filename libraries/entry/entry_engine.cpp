#include "libraries/entry/entry_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Returns the services that have upstreams in the region, all of which the configuration drains.
std::set<service_name> services_draining_in_region(deployment const& document,
                                                   region_name const& region)
{
    std::set<service_name> draining;
    std::set<service_name> serving;
    for (upstream const& each : document.upstreams) {
        if (document.region_of_place(each.place) != region)
            continue;
        (document.is_draining(each) ? draining : serving).insert(each.service);
    }
    std::erase_if(draining, [&](service_name const& each) { return serving.contains(each); });
    return draining;
}

} // namespace

entry_engine::entry_engine(entry_engine_options options, random_source& random, time_point now)
    : options_(std::move(options)), random_(random), redeemed_tickets_(options_.tickets, now),
      retry_budget_(options_.retries_per_request, options_.max_saved_retries)
{}

entry_engine::commands
entry_engine::apply_configuration(std::shared_ptr<configuration_in_force const> new_configuration,
                                  time_point now)
{
    commands out;
    configuration_ = std::move(new_configuration);
    deployment const& document = *configuration_->document;
    upstreams_.clear();
    std::map<service_name, std::vector<pool_member>> members;
    for (service const& each : document.services)
        members[each.name];
    draining_services_ = services_draining_in_region(document, options_.region);
    for (upstream const& each : document.upstreams) {
        upstreams_.emplace(each.name, each);
        bool const outside_region = document.region_of_place(each.place) != options_.region;
        bool const excluded_by_drain =
            document.is_draining(each) && !draining_services_.contains(each.service);
        if (outside_region || excluded_by_drain)
            continue;
        duration const one_way_delay =
            each.place == options_.place ? duration::zero() : document.delays.between_places;
        members[each.service].push_back(
            {.name = each.name, .slots = each.slots, .round_trip = 2 * one_way_delay});
    }
    for (auto const& [name, pool_members] : members) {
        auto const pool = pools_.try_emplace(name, options_.pools).first;
        apply_pool_commands(pool->second.set_members(pool_members, now), now, out);
    }
    for (auto& [name, pool] : pools_) {
        if (!members.contains(name))
            apply_pool_commands(pool.set_members({}, now), now, out);
    }
    update_shift_limits(now);
    update_leaving_upstreams(now);
    rebuild_lookups();
    return out;
}

void entry_engine::update_shift_limits(time_point now)
{
    for (service const& each : configuration_->document->services) {
        shift_limits const limits{.cap = each.shift_cap, .interval = each.shift_interval};
        shift_limiter const fresh(limits, now);
        shift_governors& governors =
            shift_governors_by_service_
                .try_emplace(each.name, shift_governors{.outward = fresh, .inward = fresh})
                .first->second;
        governors.outward.set_limits(limits);
        governors.inward.set_limits(limits);
    }
}

void entry_engine::update_members(std::vector<member_view> members)
{
    members_ = std::move(members);
    rebuild_lookups();
}

void entry_engine::rebuild_lookups()
{
    if (configuration_)
        lookups_.rebuild(*configuration_->document, members_);
}

void entry_engine::record_pool_report(wire::pool_report const& report, time_point now)
{
    pool_key const key{.service = service_name(report.service.get()),
                       .region = region_name(report.region.get())};
    pool_reports_[key] = {.report = report, .at = now, .spilled_since = 0};
}

bool entry_engine::mark_leaving(upstream_name const& upstream, time_point sign_time, time_point now)
{
    bool const is_new = leaving_upstreams_.record_leaving(
        {.upstream = upstream, .incarnation = {}, .reported_at = sign_time}, now);
    update_leaving_upstreams(now);
    return is_new;
}

void entry_engine::update_leaving_upstreams(time_point now)
{
    for (upstream_name const& each : leaving_upstreams_.expire(now)) {
        for (auto& [name, pool] : pools_)
            pool.set_leaving(each, false);
    }
    for (auto const& [upstream, report] : leaving_upstreams_.last_reports()) {
        for (auto& [name, pool] : pools_)
            pool.set_leaving(upstream, true);
    }
}

ticket entry_engine::next_ticket()
{
    return generate_ticket(options_.incarnation, redeemed_tickets_.current_epoch(), random_);
}

entry_engine::commands entry_engine::handle_arrival(call_arrival arrival, time_point now)
{
    commands out;
    ++counters_.arrived;
    request_id const id = arrival.id;
    call_state& call = calls_[id];
    call.arrival = std::move(arrival);
    service const* const service =
        configuration_ ? configuration_->document->find_service(call.arrival.service) : nullptr;
    call.idempotent = service != nullptr && service->idempotent;
    duration const upper_limit = service != nullptr ? service->deadline : duration::zero();
    bool const caller_has_deadline = call.arrival.deadline > duration::zero();
    call.deadline =
        now + (caller_has_deadline ? std::min(call.arrival.deadline, upper_limit) : upper_limit);

    auto const& presented = call.arrival.presented;
    if (presented && presented->incarnation != options_.incarnation) {
        forward_to_ticket_entry(call, now, out);
        return out;
    }
    if (presented) {
        // Redeem the ticket before the checks below: a call that they refuse then stays refused
        // when a late copy of it arrives.
        redemption_result const redemption =
            redeemed_tickets_.redeem(*presented, call.arrival.request, now);
        if (redemption.verdict != redemption_verdict::fresh) {
            handle_duplicate(call, redemption, out);
            return out;
        }
    }
    if (service == nullptr) {
        refuse_waiting(
            call, configuration_ ? refusal_reason::no_upstream : refusal_reason::no_configuration,
            out);
        return out;
    }
    if (!call.idempotent && !presented) {
        refuse_waiting(call, refusal_reason::bad_ticket, out);
        return out;
    }
    if (calls_.size() > options_.max_calls) {
        refuse_waiting(call, refusal_reason::no_room, out);
        return out;
    }
    retry_budget_.record_request();
    route_call(call, now, out);
    return out;
}

void entry_engine::handle_duplicate(call_state& call, redemption_result const& redemption,
                                    commands& out)
{
    request_id const id = call.arrival.id;
    switch (redemption.verdict) {
    case redemption_verdict::fresh:
        return;
    case redemption_verdict::in_flight:
        call.location = call_location::waiting_for_original;
        waiting_duplicates_.insert(id);
        return;
    case redemption_verdict::answered:
        ++counters_.retained_answers;
        out.emplace_back(reply_retained_answer{.id = id, .answer = redemption.answer});
        break;
    case redemption_verdict::answered_not_retained:
        out.emplace_back(reply_answer_not_retained{.id = id});
        break;
    case redemption_verdict::not_run:
    case redemption_verdict::epoch_closed:
        ++counters_.not_run;
        out.emplace_back(
            reply_not_run{.id = id, .reason = refusal_reason::bad_ticket, .next = next_ticket()});
        break;
    case redemption_verdict::unknown:
    case redemption_verdict::epoch_discarded:
    case redemption_verdict::epoch_not_open:
        ++counters_.unknown;
        out.emplace_back(reply_unknown{.id = id, .reason = refusal_reason::epoch_discarded});
        break;
    case redemption_verdict::conflict:
        ++counters_.ticket_conflicts;
        out.emplace_back(reply_conflict{.id = id});
        break;
    }
    erase(id);
}

void entry_engine::start_send(call_state& call, upstream_name const& upstream, time_point now,
                              commands& out)
{
    auto const found = upstreams_.find(upstream);
    if (call.caller_gone || found == upstreams_.end()) {
        release_slot(call, pool_result::cancelled, now, out);
        refuse_waiting(call, refusal_reason::caller_gone, out);
        return;
    }
    call.stage = std::move(std::get<waiting_request>(call.stage)).dispatch();
    call.location = call_location::sent_to_upstream;
    call.upstream = upstream;
    call.sent_to = found->second.at;
    call.tried_upstreams.push_back(upstream);
    call.head.reset();
    ++call.sends;
    call.answer_head_deadline = choose_answer_head_deadline(call, now);
    if (call.idempotent)
        answer_head_deadlines_.emplace(call.answer_head_deadline, call.arrival.id);
    out.emplace_back(send_upstream{.id = call.arrival.id,
                                   .upstream = upstream,
                                   .to = found->second.at,
                                   .time_left = call.deadline - now,
                                   .fresh_connection = !call.idempotent || call.sends > 1});
}

time_point entry_engine::choose_answer_head_deadline(call_state const& call, time_point now) const
{
    duration const mean_latency_of_upstream =
        pools_.at(call.arrival.service).mean_latency(call.upstream);
    duration const scaled_mean(
        static_cast<std::int64_t>(static_cast<double>(mean_latency_of_upstream.count()) *
                                  options_.answer_head_timeout_factor));
    duration const upper_limit(
        static_cast<std::int64_t>(static_cast<double>((call.deadline - now).count()) *
                                  options_.max_answer_head_timeout_fraction));
    return now + std::min(std::max(scaled_mean, options_.min_answer_head_timeout), upper_limit);
}

void entry_engine::abandon_sends_without_answer(time_point now, commands& out)
{
    while (!answer_head_deadlines_.empty() && answer_head_deadlines_.begin()->first <= now) {
        request_id const id = answer_head_deadlines_.begin()->second;
        time_point const deadline_of_send = answer_head_deadlines_.begin()->first;
        answer_head_deadlines_.erase(answer_head_deadlines_.begin());
        auto const found = calls_.find(id);
        bool const still_without_answer =
            found != calls_.end() && !found->second.head &&
            found->second.location == call_location::sent_to_upstream &&
            found->second.answer_head_deadline == deadline_of_send;
        if (!still_without_answer)
            continue;
        call_state& call = found->second;
        bool const may_retry = call.sends < options_.max_sends && retry_budget_.try_spend();
        if (!may_retry)
            continue;
        ++counters_.abandoned_sends;
        out.emplace_back(abandon_send{.id = id, .upstream_address = call.sent_to});
        release_slot(call, pool_result::lost, now, out);
        call.stage = std::move(std::get<dispatched_request>(call.stage))
                         .return_to_waiting_without_evidence();
        submit_to_local_pool(call, now, out);
    }
}

entry_engine::commands entry_engine::tick(time_point now)
{
    commands out;
    redeemed_tickets_.advance_to(now);
    update_leaving_upstreams(now);
    for (auto& [name, pool] : pools_)
        apply_pool_commands(pool.tick(now), now, out);
    abandon_sends_without_answer(now, out);
    std::vector<request_id> expired;
    for (request_id const& id : waiting_duplicates_) {
        if (now >= calls_.at(id).deadline)
            expired.push_back(id);
    }
    for (request_id const& id : expired) {
        // Only the duplicate stops waiting; the original request continues.
        ++counters_.unknown;
        out.emplace_back(reply_unknown{.id = id, .reason = refusal_reason::deadline_passed});
        erase(id);
    }
    return out;
}

void entry_engine::erase(request_id id)
{
    waiting_duplicates_.erase(id);
    calls_.erase(id);
}

std::vector<entry_engine::outgoing_pool_report> entry_engine::make_pool_reports() const
{
    std::vector<outgoing_pool_report> reports;
    for (auto const& [name, pool] : pools_) {
        if (!owns_pool(name))
            continue;
        pool_load const load = pool.load();
        outgoing_pool_report report;
        report.report = {.service = wire::name_text(name.get()),
                         .region = wire::name_text(options_.region.get()),
                         .incarnation = options_.incarnation.get(),
                         .slots = load.slots,
                         .in_flight = load.in_flight,
                         .queued = load.queued};
        for (region_name const& region : configuration_->document->regions) {
            member_view const* const other = lookups_.owner({.service = name, .region = region});
            if (other && region != options_.region)
                report.receivers.push_back(other->listed.peers);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace burdockstep
