/// Where a request goes: to its ticket's holder, the pool's owner, the pool, or another region.
#include "libraries/entry/entry_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

void entry_engine::pass_to_ticket_holder(call& which, time_point now, commands& out)
{
    auto const holder =
        std::find_if(members_.begin(), members_.end(), [&](member_view const& each) {
            return each.incarnation == which.arrival.presented->incarnation && each.is_reachable();
        });
    if (holder == members_.end() || which.arrival.route != call_route::direct) {
        // Only that incarnation knows whether the request has run.
        end_unknown(which, refusal_reason::entry_lost, out);
        return;
    }
    if (which.deadline <= now)
        which.deadline = now + std::max(which.arrival.deadline, duration(std::chrono::seconds(1)));
    send_to_peer(which, *holder, call_route::passed, now, out);
}

void entry_engine::route_call(call& which, time_point now, commands& out)
{
    if (now >= which.deadline) {
        refuse_waiting(which, refusal_reason::deadline_passed, out);
        return;
    }
    if (which.arrival.route == call_route::direct && pass_to_owner(which, now, out))
        return;
    queue_locally(which, now, out);
}

bool entry_engine::pass_to_owner(call& which, time_point now, commands& out)
{
    pool_key const pool{.service = which.arrival.service, .region = options_.region};
    member_view const* const owner = lookups_.owner(pool);
    bool const elsewhere = owner && owner->incarnation != options_.incarnation;
    if (!elsewhere || which.tried_peers.contains(owner->incarnation))
        return false;
    ++counters_.passed_to_owner;
    send_to_peer(which, *owner, call_route::passed, now, out);
    return true;
}

void entry_engine::send_to_peer(call& which, member_view const& peer, call_route route,
                                time_point now, commands& out)
{
    bool const is_holder =
        which.arrival.presented && which.arrival.presented->incarnation == peer.incarnation;
    std::optional<ticket> present;
    if (is_holder)
        present = which.arrival.presented;
    else if (!which.idempotent)
        present = mint_ticket(peer.incarnation, peer.epoch, random_);
    which.stage = std::move(std::get<waiting_request>(which.stage)).dispatch();
    which.position = call_position::at_peer;
    which.tried_peers.insert(peer.incarnation);
    which.head.reset();
    ++which.sends;
    out.emplace_back(send_peer{.id = which.arrival.id,
                               .to = peer.listed.callers,
                               .present = present,
                               .route = route,
                               .time_left = which.deadline - now,
                               .fresh_connection = !which.idempotent});
}

std::uint32_t entry_engine::spill_limit(service_name const& service) const
{
    double limit = 0;
    for (auto const& [name, each] : upstreams_) {
        if (each.service != service ||
            configuration_->document->region_of(each.place) != options_.region)
            continue;
        place const* const at = configuration_->document->find_place(each.place);
        limit += each.slots.get() * at->cap.get() / 100.0;
    }
    return static_cast<std::uint32_t>(limit);
}

void entry_engine::queue_locally(call& which, time_point now, commands& out)
{
    auto const pool = pools_.find(which.arrival.service);
    if (pool == pools_.end()) {
        refuse_waiting(which, refusal_reason::no_upstream, out);
        return;
    }
    which.position = call_position::waiting;
    if (!may_take_in(which, now)) {
        refuse_waiting(which, refusal_reason::no_room, out);
        return;
    }
    bool const drains = draining_pools_.contains(which.arrival.service) &&
                        which.arrival.route != call_route::spilled;
    if (drains && spill(which, now, out))
        return;
    bool const drained =
        drains && shifts_.at(which.arrival.service).outward.shifted_fraction_limit() >= 1.0;
    if (drained) {
        refuse_waiting(which, refusal_reason::no_room, out);
        return;
    }
    if (which.arrival.route == call_route::spilled) {
        pool_load const load = pool->second.load();
        if (load.in_flight + load.queued >= spill_limit(which.arrival.service)) {
            refuse_waiting(which, refusal_reason::no_room, out);
            return;
        }
    }
    apply(pool->second.submit({.id = which.arrival.id,
                               .deadline = which.deadline,
                               .excluded_upstreams = which.tried_upstreams},
                              now),
          now, out);
}

bool entry_engine::is_foreign(call const& which) const
{
    region_name const& home = which.arrival.home;
    if (home.get().empty() || home == options_.region)
        return false;
    // Callers of a region that has no upstream of the service belong nowhere else.
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](auto const& entry) {
        return entry.second.service == which.arrival.service &&
               configuration_->document->region_of(entry.second.place) == home;
    });
}

bool entry_engine::may_take_in(call& which, time_point now)
{
    if (std::exchange(which.counted, true))
        return true;
    shift_governors& governors = shifts_.at(which.arrival.service);
    if (which.arrival.route == call_route::spilled) {
        governors.inward.note_shifted_by_other_entry();
        return true;
    }
    governors.outward.note_arrival(now);
    governors.inward.note_arrival(now);
    if (!is_foreign(which) || governors.inward.try_shift())
        return true;
    ++counters_.shift_refused;
    return false;
}

void entry_engine::apply(std::vector<pool_command> const& pool_commands, time_point now,
                         commands& out)
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

bool entry_engine::spill(call& which, time_point now, commands& out)
{
    if (which.arrival.route == call_route::spilled || which.sends >= options_.most_sends)
        return false;
    auto const target = choose_spill_target(which, now);
    if (!target)
        return false;
    if (!shifts_.at(which.arrival.service).outward.try_shift()) {
        ++counters_.shift_refused;
        return false;
    }
    ++counters_.spilled;
    which.spilled_to = target;
    which.spilled_at = now;
    auto const heard = reports_.find(*target);
    if (heard != reports_.end())
        ++heard->second.sent_since;
    send_to_peer(which, *lookups_.owner(*target), call_route::spilled, now, out);
    return true;
}

void entry_engine::note_spill_ended(call& which)
{
    if (!which.spilled_to)
        return;
    auto const heard = reports_.find(*which.spilled_to);
    // A report that came after the send counts the request already.
    bool const counted = heard != reports_.end() && which.spilled_at >= heard->second.at &&
                         heard->second.sent_since > 0;
    if (counted)
        --heard->second.sent_since;
    which.spilled_to.reset();
}

std::optional<pool_key> entry_engine::choose_spill_target(call const& which, time_point now) const
{
    service_name const& service = which.arrival.service;
    pool_load const own = pools_.at(service).load();
    bool const own_pool_empty = own.slots == 0 || draining_pools_.contains(service);
    std::optional<pool_key> best;
    double best_room = 0;
    for (region_name const& region : lookups_.regions_of(service)) {
        pool_key const key{.service = service, .region = region};
        member_view const* const owner = lookups_.owner(key);
        if (region == options_.region || owner == nullptr ||
            which.tried_peers.contains(owner->incarnation))
            continue;
        auto const heard = reports_.find(key);
        bool const fresh =
            heard != reports_.end() && now - heard->second.at <= options_.oldest_report;
        // Without a report nothing is known of the room, so only work that has no other way goes.
        double room = own_pool_empty ? 0.5 : 0;
        if (fresh) {
            wire::pool_report const& report = heard->second.report;
            room = static_cast<double>(report.slots) - report.in_flight - report.queued -
                   heard->second.sent_since;
        }
        if (room > best_room) {
            best_room = room;
            best = key;
        }
    }
    return best;
}

} // namespace burdockstep
