/// Routes a request to the entry that its ticket names, the pool's owner, the local pool, or
/// another region.
#include "libraries/entry/entry_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

void entry_engine::forward_to_ticket_entry(call_state& call, time_point now, commands& out)
{
    auto const ticket_entry =
        std::find_if(members_.begin(), members_.end(), [&](member_view const& each) {
            return each.incarnation == call.arrival.presented->incarnation && each.is_reachable();
        });
    if (ticket_entry == members_.end() || call.arrival.route != call_route::direct) {
        // Only the incarnation that the ticket names knows whether the request has run.
        end_unknown(call, refusal_reason::entry_lost, out);
        return;
    }
    if (call.deadline <= now)
        call.deadline = now + std::max(call.arrival.deadline, duration(std::chrono::seconds(1)));
    send_to_peer(call, *ticket_entry, call_route::forwarded, now, out);
}

void entry_engine::route_call(call_state& call, time_point now, commands& out)
{
    if (now >= call.deadline) {
        refuse_waiting(call, refusal_reason::deadline_passed, out);
        return;
    }
    if (call.arrival.route == call_route::direct && forward_to_pool_owner(call, now, out))
        return;
    submit_to_local_pool(call, now, out);
}

bool entry_engine::forward_to_pool_owner(call_state& call, time_point now, commands& out)
{
    pool_key const pool{.service = call.arrival.service, .region = options_.region};
    member_view const* const owner = lookups_.owner(pool);
    bool const owned_by_peer = owner && owner->incarnation != options_.incarnation;
    if (!owned_by_peer || call.tried_peers.contains(owner->incarnation))
        return false;
    ++counters_.forwarded_to_owner;
    send_to_peer(call, *owner, call_route::forwarded, now, out);
    return true;
}

void entry_engine::send_to_peer(call_state& call, member_view const& peer, call_route route,
                                time_point now, commands& out)
{
    bool const is_ticket_entry =
        call.arrival.presented && call.arrival.presented->incarnation == peer.incarnation;
    std::optional<ticket> present;
    if (is_ticket_entry)
        present = call.arrival.presented;
    else if (!call.idempotent)
        present = generate_ticket(peer.incarnation, peer.epoch, random_);
    call.stage = std::move(std::get<waiting_request>(call.stage)).dispatch();
    call.location = call_location::sent_to_peer;
    call.tried_peers.insert(peer.incarnation);
    call.head.reset();
    ++call.sends;
    out.emplace_back(send_peer{.id = call.arrival.id,
                               .to = peer.listed.callers,
                               .present = present,
                               .route = route,
                               .time_left = call.deadline - now,
                               .fresh_connection = !call.idempotent});
}

std::uint32_t entry_engine::spill_limit(service_name const& service) const
{
    double limit = 0;
    for (auto const& [name, each] : upstreams_) {
        if (each.service != service ||
            configuration_->document->region_of_place(each.place) != options_.region)
            continue;
        place const* const at = configuration_->document->find_place(each.place);
        limit += each.slots.get() * at->load_cap.get() / 100.0;
    }
    return static_cast<std::uint32_t>(limit);
}

void entry_engine::submit_to_local_pool(call_state& call, time_point now, commands& out)
{
    auto const pool = pools_.find(call.arrival.service);
    if (pool == pools_.end()) {
        refuse_waiting(call, refusal_reason::no_upstream, out);
        return;
    }
    call.location = call_location::waiting;
    if (!admit_under_shift_cap(call, now)) {
        refuse_waiting(call, refusal_reason::no_room, out);
        return;
    }
    bool const pool_drains = draining_services_.contains(call.arrival.service) &&
                             call.arrival.route != call_route::spilled;
    if (pool_drains && spill(call, now, out))
        return;
    shift_limiter& outward = shift_governors_by_service_.at(call.arrival.service).outward;
    if (pool_drains && outward.shifted_fraction_limit() >= 1.0) {
        outward.note_refused();
        refuse_waiting(call, refusal_reason::no_room, out);
        return;
    }
    if (call.arrival.route == call_route::spilled) {
        pool_load const load = pool->second.load();
        if (load.in_flight + load.queued >= spill_limit(call.arrival.service)) {
            refuse_waiting(call, refusal_reason::no_room, out);
            return;
        }
    }
    apply_pool_commands(pool->second.submit({.id = call.arrival.id,
                                             .deadline = call.deadline,
                                             .excluded_upstreams = call.tried_upstreams},
                                            now),
                        now, out);
}

bool entry_engine::belongs_to_other_region(call_state const& call) const
{
    region_name const& home_region = call.arrival.home_region;
    if (home_region.get().empty() || home_region == options_.region)
        return false;
    // Callers from a region without upstreams of the service have no other region to belong to.
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](auto const& entry) {
        return entry.second.service == call.arrival.service &&
               configuration_->document->region_of_place(entry.second.place) == home_region;
    });
}

bool entry_engine::admit_under_shift_cap(call_state& call, time_point now)
{
    if (std::exchange(call.counted, true))
        return true;
    shift_governors& governors = shift_governors_by_service_.at(call.arrival.service);
    if (call.arrival.route == call_route::spilled) {
        governors.inward.note_shifted_by_other_entry();
        return true;
    }
    governors.outward.note_arrival(now);
    governors.inward.note_arrival(now);
    if (!belongs_to_other_region(call) || governors.inward.try_shift())
        return true;
    ++counters_.refused_by_shift_cap;
    return false;
}

void entry_engine::apply_pool_commands(std::vector<pool_command> const& pool_commands,
                                       time_point now, commands& out)
{
    for (pool_command const& each : pool_commands) {
        if (auto const* const dispatch = std::get_if<dispatch_command>(&each)) {
            auto const found = calls_.find(dispatch->id);
            if (found != calls_.end())
                start_send(found->second, dispatch->upstream, now, out);
            continue;
        }
        auto const& reject = std::get<reject_command>(each);
        auto const found = calls_.find(reject.id);
        if (found == calls_.end())
            continue;
        bool const may_spill = reject.reason != refusal_reason::deadline_passed;
        if (!may_spill || !spill(found->second, now, out))
            refuse_waiting(found->second, reject.reason, out);
    }
}

bool entry_engine::spill(call_state& call, time_point now, commands& out)
{
    if (call.arrival.route == call_route::spilled || call.sends >= options_.max_sends)
        return false;
    auto const target = choose_spill_target(call, now);
    if (!target)
        return false;
    if (!shift_governors_by_service_.at(call.arrival.service).outward.try_shift()) {
        ++counters_.refused_by_shift_cap;
        return false;
    }
    ++counters_.spilled;
    call.spilled_to = target;
    call.spilled_at = now;
    auto const received = pool_reports_.find(*target);
    if (received != pool_reports_.end())
        ++received->second.spilled_since;
    send_to_peer(call, *lookups_.owner(*target), call_route::spilled, now, out);
    return true;
}

void entry_engine::uncount_spill(call_state& call)
{
    if (!call.spilled_to)
        return;
    auto const received = pool_reports_.find(*call.spilled_to);
    // A report that arrived after the send already includes the request in its load.
    bool const counted = received != pool_reports_.end() &&
                         call.spilled_at >= received->second.at &&
                         received->second.spilled_since > 0;
    if (counted)
        --received->second.spilled_since;
    call.spilled_to.reset();
}

std::optional<pool_key> entry_engine::choose_spill_target(call_state const& call,
                                                          time_point now) const
{
    service_name const& service = call.arrival.service;
    pool_load const own_load = pools_.at(service).load();
    bool const own_pool_takes_no_new_work =
        own_load.slots == 0 || draining_services_.contains(service);
    std::optional<pool_key> best_pool;
    double best_free_slots = 0;
    for (region_name const& region : lookups_.regions_with_active_upstream(service)) {
        pool_key const key{.service = service, .region = region};
        member_view const* const owner = lookups_.owner(key);
        if (region == options_.region || owner == nullptr ||
            call.tried_peers.contains(owner->incarnation))
            continue;
        auto const received = pool_reports_.find(key);
        bool const report_is_recent =
            received != pool_reports_.end() && now - received->second.at <= options_.max_report_age;
        // Without a recent report the free slots are unknown. Spill there only if the local pool
        // takes no new work.
        double free_slots = own_pool_takes_no_new_work ? 0.5 : 0;
        if (report_is_recent) {
            wire::pool_report const& report = received->second.report;
            free_slots = static_cast<double>(report.slots) - report.in_flight - report.queued -
                         received->second.spilled_since;
        }
        if (free_slots > best_free_slots) {
            best_free_slots = free_slots;
            best_pool = key;
        }
    }
    return best_pool;
}

} // namespace burdockstep
