#include "libraries/entry/entry_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Services that have upstreams in the region, all of which drain by plan.
std::set<service_name> pools_that_drain(deployment const& document, region_name const& region)
{
    std::set<service_name> draining;
    std::set<service_name> serving;
    for (upstream const& each : document.upstreams) {
        if (document.region_of(each.place) != region)
            continue;
        (document.is_draining(each) ? draining : serving).insert(each.service);
    }
    std::erase_if(draining, [&](service_name const& each) { return serving.contains(each); });
    return draining;
}

} // namespace

entry_engine::entry_engine(entry_engine_options options, random_source& random, time_point now)
    : options_(std::move(options)), random_(random), ledger_(options_.tickets, now),
      retries_(options_.retries_per_request, options_.most_retries_saved)
{}

entry_engine::commands
entry_engine::take_configuration(std::shared_ptr<configuration_in_force const> adopted,
                                 time_point now)
{
    commands out;
    configuration_ = std::move(adopted);
    deployment const& document = *configuration_->document;
    upstreams_.clear();
    std::map<service_name, std::vector<pool_member>> members;
    for (service const& each : document.services)
        members[each.name];
    draining_pools_ = pools_that_drain(document, options_.region);
    for (upstream const& each : document.upstreams) {
        upstreams_.emplace(each.name, each);
        bool const elsewhere = document.region_of(each.place) != options_.region;
        bool const drained = document.is_draining(each) && !draining_pools_.contains(each.service);
        if (elsewhere || drained)
            continue;
        duration const one_way =
            each.place == options_.place ? duration::zero() : document.delays.between_places;
        members[each.service].push_back(
            {.name = each.name, .slots = each.slots, .round_trip = 2 * one_way});
    }
    for (auto const& [name, list] : members) {
        auto const pool = pools_.try_emplace(name, options_.pools).first;
        apply(pool->second.set_members(list, now), now, out);
    }
    for (auto& [name, pool] : pools_) {
        if (!members.contains(name))
            apply(pool.set_members({}, now), now, out);
    }
    set_shift_limits(now);
    apply_leaving(now);
    rebuild_lookups();
    return out;
}

void entry_engine::set_shift_limits(time_point now)
{
    for (service const& each : configuration_->document->services) {
        shift_limits const limits{.cap = each.shift_cap, .interval = each.shift_interval};
        shift_limiter const fresh(limits, now);
        shift_governors& governors =
            shifts_.try_emplace(each.name, shift_governors{.outward = fresh, .inward = fresh})
                .first->second;
        governors.outward.set_limits(limits);
        governors.inward.set_limits(limits);
    }
}

void entry_engine::take_members(std::vector<member_view> members)
{
    members_ = std::move(members);
    rebuild_lookups();
}

void entry_engine::rebuild_lookups()
{
    if (configuration_)
        lookups_.rebuild(*configuration_->document, members_);
}

void entry_engine::take_pool_report(wire::pool_report const& report, time_point now)
{
    pool_key const key{.service = service_name(report.service.get()),
                       .region = region_name(report.region.get())};
    reports_[key] = {.report = report, .at = now, .sent_since = 0};
}

bool entry_engine::take_leaving(upstream_name const& upstream, time_point sign, time_point now)
{
    bool const is_news = leaving_.note(upstream, sign, now);
    apply_leaving(now);
    return is_news;
}

void entry_engine::apply_leaving(time_point now)
{
    for (upstream_name const& each : leaving_.expire(now)) {
        for (auto& [name, pool] : pools_)
            pool.set_leaving(each, false);
    }
    for (auto const& [upstream, sign] : leaving_.signs()) {
        for (auto& [name, pool] : pools_)
            pool.set_leaving(upstream, true);
    }
}

ticket entry_engine::next_ticket()
{
    return mint_ticket(options_.incarnation, ledger_.present_epoch(), random_);
}

entry_engine::commands entry_engine::arrive(call_arrival arrival, time_point now)
{
    commands out;
    ++counters_.arrived;
    request_id const id = arrival.id;
    call& which = calls_[id];
    which.arrival = std::move(arrival);
    service const* const service =
        configuration_ ? configuration_->document->find_service(which.arrival.service) : nullptr;
    which.idempotent = service != nullptr && service->idempotent;
    duration const longest = service != nullptr ? service->deadline : duration::zero();
    bool const caller_has_deadline = which.arrival.deadline > duration::zero();
    which.deadline =
        now + (caller_has_deadline ? std::min(which.arrival.deadline, longest) : longest);

    auto const& presented = which.arrival.presented;
    if (presented && presented->incarnation != options_.incarnation) {
        pass_to_ticket_holder(which, now, out);
        return out;
    }
    if (presented) {
        // Spent before anything else is decided, so that a refusal below holds for late copies.
        ticket_finding const finding = ledger_.spend(*presented, which.arrival.request, now);
        if (finding.verdict != ticket_verdict::fresh) {
            judge_repeat(which, finding, out);
            return out;
        }
    }
    if (service == nullptr) {
        refuse_waiting(
            which, configuration_ ? refusal_reason::no_upstream : refusal_reason::no_configuration,
            out);
        return out;
    }
    if (!which.idempotent && !presented) {
        refuse_waiting(which, refusal_reason::bad_ticket, out);
        return out;
    }
    if (calls_.size() > options_.most_calls) {
        refuse_waiting(which, refusal_reason::no_room, out);
        return out;
    }
    retries_.note_request();
    route_call(which, now, out);
    return out;
}

void entry_engine::judge_repeat(call& which, ticket_finding const& finding, commands& out)
{
    request_id const id = which.arrival.id;
    switch (finding.verdict) {
    case ticket_verdict::fresh:
        return;
    case ticket_verdict::in_flight:
        which.position = call_position::waiting_for_first;
        repeats_.insert(id);
        return;
    case ticket_verdict::answered:
        ++counters_.kept_answers;
        out.emplace_back(reply_kept{.id = id, .answer = finding.answer});
        break;
    case ticket_verdict::answered_not_kept:
        out.emplace_back(reply_answer_gone{.id = id});
        break;
    case ticket_verdict::not_run:
    case ticket_verdict::closed:
        ++counters_.not_run;
        out.emplace_back(
            reply_not_run{.id = id, .reason = refusal_reason::bad_ticket, .next = next_ticket()});
        break;
    case ticket_verdict::unknown:
    case ticket_verdict::forgotten:
    case ticket_verdict::future:
        ++counters_.unknown;
        out.emplace_back(reply_unknown{.id = id, .reason = refusal_reason::forgotten});
        break;
    case ticket_verdict::conflict:
        ++counters_.conflicts;
        out.emplace_back(reply_conflict{.id = id});
        break;
    }
    erase(id);
}

void entry_engine::start_send(call& which, upstream_name const& upstream, time_point now,
                              commands& out)
{
    auto const found = upstreams_.find(upstream);
    if (which.caller_gone || found == upstreams_.end()) {
        release_slot(which, pool_result::cancelled, now, out);
        refuse_waiting(which, refusal_reason::caller_gone, out);
        return;
    }
    which.stage = std::move(std::get<waiting_request>(which.stage)).dispatch();
    which.position = call_position::at_upstream;
    which.upstream = upstream;
    which.sent_to = found->second.at;
    which.tried_upstreams.push_back(upstream);
    which.head.reset();
    ++which.sends;
    which.silent_after = silence_limit(which, now);
    if (which.idempotent)
        silence_.emplace(which.silent_after, which.arrival.id);
    out.emplace_back(send_upstream{.id = which.arrival.id,
                                   .upstream = upstream,
                                   .to = found->second.at,
                                   .time_left = which.deadline - now,
                                   .fresh_connection = !which.idempotent || which.sends > 1});
}

time_point entry_engine::silence_limit(call const& which, time_point now) const
{
    duration const mean = pools_.at(which.arrival.service).mean_latency(which.upstream);
    duration const usual(
        static_cast<std::int64_t>(static_cast<double>(mean.count()) * options_.silence_factor));
    duration const longest(static_cast<std::int64_t>(
        static_cast<double>((which.deadline - now).count()) * options_.longest_silence_part));
    return now + std::min(std::max(usual, options_.shortest_silence), longest);
}

void entry_engine::abandon_silent(time_point now, commands& out)
{
    while (!silence_.empty() && silence_.begin()->first <= now) {
        request_id const id = silence_.begin()->second;
        time_point const planned = silence_.begin()->first;
        silence_.erase(silence_.begin());
        auto const found = calls_.find(id);
        bool const still_silent = found != calls_.end() && !found->second.head &&
                                  found->second.position == call_position::at_upstream &&
                                  found->second.silent_after == planned;
        if (!still_silent)
            continue;
        call& which = found->second;
        bool const may_retry = which.sends < options_.most_sends && retries_.try_spend();
        if (!may_retry)
            continue;
        ++counters_.abandoned;
        out.emplace_back(abandon_send{.id = id, .silent = which.sent_to});
        release_slot(which, pool_result::lost, now, out);
        which.stage = std::move(std::get<dispatched_request>(which.stage)).run_again();
        queue_locally(which, now, out);
    }
}

entry_engine::commands entry_engine::tick(time_point now)
{
    commands out;
    ledger_.advance(now);
    apply_leaving(now);
    for (auto& [name, pool] : pools_)
        apply(pool.tick(now), now, out);
    abandon_silent(now, out);
    std::vector<request_id> expired;
    for (request_id const& id : repeats_) {
        if (now >= calls_.at(id).deadline)
            expired.push_back(id);
    }
    for (request_id const& id : expired) {
        // The first request goes on; only this repeat stops waiting for it.
        ++counters_.unknown;
        out.emplace_back(reply_unknown{.id = id, .reason = refusal_reason::deadline_passed});
        erase(id);
    }
    return out;
}

void entry_engine::erase(request_id id)
{
    repeats_.erase(id);
    calls_.erase(id);
}

std::vector<entry_engine::outgoing_report> entry_engine::make_reports() const
{
    std::vector<outgoing_report> reports;
    for (auto const& [name, pool] : pools_) {
        if (!owns_pool(name))
            continue;
        pool_load const load = pool.load();
        outgoing_report report;
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
