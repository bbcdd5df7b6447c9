// Forwarding engine: placement, the choice of a region and an upstream for each request.
#include "libraries/forwarding/forwarding_engine.hpp"

#include "libraries/core/digest.hpp"
#include "libraries/dispatch/affinity_hash.hpp"
#include "libraries/dispatch/place_relay.hpp"
#include "libraries/forwarding/slot_totals.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Added cost of a download from another place or region, because the links between them are
/// narrow and expensive.
constexpr double download_cross_place_cost_ms = 40;
constexpr double download_cross_region_cost_ms = 150;
/// Cost of an upstream in another place. It is low, so that the upstreams of all places of a region
/// are about equally good: if the entries of two places kept to their own upstreams, each object
/// would be computed twice.
constexpr double other_place_cost_ms = 30;
/// An upstream is slow if its average service time is at least this multiple of the service's
/// median. A slow upstream is preferred only if all others are slow as well.
constexpr double slow_service_time_ratio = 3.0;
/// If a smaller fraction of this region's slots is free, requests go only to upstreams that were
/// recently sent their object or are preferred for it.
constexpr double scarce_slot_fraction = 0.6;
constexpr double same_place_round_trip_ms = 0.5;
/// Until a service time has been measured, it is assumed to be this fraction of the latency
/// objective.
constexpr double initial_service_time_fraction = 0.5;
/// Cold upstreams take about twice as long to answer as warm ones.
constexpr double cold_slowness = 2.0;
/// Cost of an upstream with all slots occupied, proportionally lower if some are free. It decides
/// between upstreams of otherwise equal cost.
constexpr double occupancy_cost_ms = 6;
/// Highest cost that the affinity hash adds. It is large, so that requests for the same object go
/// to the same upstream.
constexpr double object_affinity_cost_ms = 1000;
/// Slots of an upstream in another region that are left to the entries of that region.
constexpr unsigned slots_reserved_for_region = 1;

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Selects the upstream with the lowest cost, and one that is slow or at the limit of its pace only
/// if all are: requests don't leave a region because all its upstreams seem slow.
struct preferred_upstream
{
    upstream_tracker const* tracker = nullptr;
    double lowest_cost = 0;
    bool is_slow = false;

    void consider(upstream_tracker const& other, double cost, bool is_at_limit)
    {
        bool const slow = is_at_limit || other.service_time_ratio() >= slow_service_time_ratio;
        bool const better =
            tracker == nullptr || (is_slow && !slow) || (slow == is_slow && cost < lowest_cost);
        if (!better)
            return;
        tracker = &other;
        lowest_cost = cost;
        is_slow = slow;
    }
};

} // namespace

duration forwarding_engine::expected_round_trip(upstream_tracker const& tracker) const
{
    switch (tracker.proximity()) {
    case upstream_proximity::same_place:
        return duration(static_cast<std::int64_t>(same_place_round_trip_ms * 1'000));
    case upstream_proximity::same_region:
        return place_round_trip_;
    case upstream_proximity::other_region:
        break;
    }
    auto const found = region_round_trips_.find(tracker.known().region);
    return found == region_round_trips_.end() ? options_.default_region_round_trip : found->second;
}

void forwarding_engine::record_round_trip(upstream_name const& upstream, duration measured)
{
    auto const found = trackers_.find(upstream);
    if (found == trackers_.end() || found->second.proximity() == upstream_proximity::same_place)
        return;
    // Follows the shortest recent measurement, because a busy upstream accepts connections late.
    bool const in_region = found->second.proximity() == upstream_proximity::same_region;
    duration& estimate = in_region ? place_round_trip_
                                   : region_round_trips_
                                         .try_emplace(found->second.known().region,
                                                      options_.default_region_round_trip)
                                         .first->second;
    estimate = measured < estimate ? measured : estimate + (measured - estimate) / 16;
}

duration forwarding_engine::expected_service_time(pending_request const& request,
                                                  bool object_is_recent) const
{
    service_pool const& pool = pools_.at(request.service);
    duration const new_object_time = pool.new_object_service_time.median();
    duration const observed =
        object_is_recent && pool.recent_object_service_time.median() > duration::zero()
            ? std::min(pool.recent_object_service_time.median(),
                       std::max(new_object_time, duration(1)))
            : new_object_time;
    if (observed > duration::zero())
        return observed;
    return std::chrono::duration_cast<duration>(request.matched_route->latency_objective *
                                                initial_service_time_fraction);
}

bool forwarding_engine::may_send_to(upstream_tracker& tracker, double cold_rate, time_point now)
{
    if (!tracker.may_send_now(now))
        return false;
    if (cold_rate <= 0 || !tracker.is_cold(now))
        return true;
    update_cold_senders(now);
    return cold_senders_.is_sender(tracker.key(), tracker.known().region, now) &&
           tracker.has_cold_token(cold_rate * cold_senders_.share(now), now);
}

void forwarding_engine::update_cold_senders(time_point now)
{
    if (!std::exchange(cold_senders_are_outdated_, false))
        return;
    cold_senders_.update(entries_, now);
}

void forwarding_engine::update_slot_precedence(upstream_tracker& tracker,
                                               std::vector<instance_name> const& added,
                                               std::vector<instance_name> const& gone) const
{
    if (added.empty() && gone.empty())
        return;
    std::uint64_t const own_hash = hash_of(options_.instance.get(), tracker.key().get());
    auto const count_ahead = [&](std::vector<instance_name> const& entries) {
        return static_cast<unsigned>(
            std::count_if(entries.begin(), entries.end(), [&](instance_name const& each) {
                return each != options_.instance &&
                       hash_of(each.get(), tracker.key().get()) > own_hash;
            }));
    };
    tracker.set_entries_ahead(tracker.entries_ahead() + count_ahead(added) - count_ahead(gone));
}

bool forwarding_engine::may_take_slot(upstream_tracker& tracker, unsigned free,
                                      time_point now) const
{
    duration const free_for = tracker.record_free(now);
    if (tracker.proximity() == upstream_proximity::other_region)
        return free > slots_reserved_for_region;
    unsigned const ahead = tracker.entries_ahead();
    return free > ahead || free_for >= options_.slot_precedence_delay * (ahead + 1 - free);
}

std::optional<double> forwarding_engine::placement_cost(pending_request const& request,
                                                        upstream_tracker& tracker, time_point now)
{
    auto const& tried_upstreams = request.tried_upstreams;
    if (std::find(tried_upstreams.begin(), tried_upstreams.end(),
                  tracker.known().registration.name) != tried_upstreams.end())
        return std::nullopt;
    service_settings const* const terms = routes_->settings_of(request.service);
    double const cold_rate = terms == nullptr ? 0.0 : terms->cold_requests_per_s;
    if (!may_send_to(tracker, cold_rate, now))
        return std::nullopt;
    unsigned const occupied_slots = tracker.occupancy(peer_counts_, now);
    if (occupied_slots >= tracker.slots()) {
        tracker.record_full();
        return std::nullopt;
    }
    unsigned const limit = tracker.request_limit(now);
    if (occupied_slots >= limit) {
        tracker.record_full();
        ++counters_.held_back_by_pace;
        return std::nullopt;
    }
    if (!may_take_slot(tracker, limit - occupied_slots, now))
        return std::nullopt;
    double cost = milliseconds(expected_round_trip(tracker));
    if (request.matched_route->kind == request_kind::download) {
        if (tracker.proximity() == upstream_proximity::same_region)
            cost += download_cross_place_cost_ms;
        else if (tracker.proximity() == upstream_proximity::other_region)
            cost += download_cross_region_cost_ms;
    }
    double const slowness = std::max(tracker.slowness(now), tracker.service_time_ratio()) *
                            (tracker.is_cold(now) ? cold_slowness : 1.0);
    cost += affinity_cost_ms(request, tracker);
    bool const object_is_recent = tracker.handled_recently(request.arrival.object);
    cost += milliseconds(expected_service_time(request, object_is_recent)) * slowness;
    cost += milliseconds(request.matched_route->latency_objective) * tracker.failure_rate();
    cost += occupancy_cost_ms * occupied_slots / tracker.slots();
    return cost;
}

double forwarding_engine::transfer_cost_ms(service_pool const& pool,
                                           upstream_tracker const& tracker) const
{
    if (tracker.proximity() != upstream_proximity::same_region ||
        own_region_entries_.size() < min_region_entries_for_relays)
        return 0;
    return other_place_transfer_cost_ms(pool.transferred.mean_bytes());
}

double forwarding_engine::affinity_cost_ms(pending_request const& request,
                                           upstream_tracker const& tracker) const
{
    double const place_cost =
        tracker.proximity() == upstream_proximity::same_place ? 0.0 : other_place_cost_ms;
    if (request.arrival.object == 0)
        return place_cost;
    return place_cost +
           object_affinity_cost_ms * affinity_hash(request.arrival.object, tracker.key());
}

forwarding_engine::pool_summary forwarding_engine::summarize_pool(pending_request const& request,
                                                                  time_point now) const
{
    preferred_upstream regional;
    preferred_upstream remote;
    slot_totals region_slots;
    for (upstream_tracker const* const each : pools_.at(request.service).upstreams) {
        if (!each->is_eligible(now))
            continue;
        bool const in_region = each->proximity() != upstream_proximity::other_region;
        if (in_region)
            region_slots.add(*each, peer_counts_, now);
        if (may_run_in(request, each->known().region))
            (in_region ? regional : remote)
                .consider(*each, affinity_cost_ms(request, *each),
                          each->is_at_pace_limit(peer_counts_, now));
    }
    return {.preferred_in_region = regional.tracker,
            .preferred_elsewhere = remote.tracker,
            .free_fraction_in_region = region_slots.free_slot_fraction()};
}

std::optional<forwarding_engine::placement_choice>
forwarding_engine::choose_upstream(pending_request const& request, time_point now)
{
    auto const pool = pools_.find(request.service);
    if (pool == pools_.end())
        return std::nullopt;
    std::optional<placement_choice> regional;
    std::optional<placement_choice> remote;
    pool_summary const observed = summarize_pool(request, now);
    bool const has_object = request.arrival.object != 0;
    bool const slots_are_scarce =
        has_object && observed.free_fraction_in_region < scarce_slot_fraction;
    for (upstream_tracker* const each : pool->second.upstreams) {
        bool const is_elsewhere = each->proximity() == upstream_proximity::other_region;
        bool const has_affinity = each == observed.preferred_in_region ||
                                  each == observed.preferred_elsewhere ||
                                  each->handled_recently(request.arrival.object);
        if ((slots_are_scarce || is_elsewhere) && !has_affinity && has_object)
            continue;
        if (!may_run_in(request, each->known().region))
            continue;
        std::optional<double> const cost = placement_cost(request, *each, now);
        if (!cost)
            continue;
        // While slots are scarce, the places of a region help each other out whatever the bytes.
        double const full_cost =
            *cost + (slots_are_scarce ? 0.0 : transfer_cost_ms(pool->second, *each));
        std::optional<placement_choice>& best = is_elsewhere ? remote : regional;
        if (!best || full_cost < best->cost_ms)
            best = {.tracker = each, .cost_ms = full_cost, .left_region = is_elsewhere};
    }
    if (observed.preferred_in_region == nullptr)
        return remote;
    outbound_verdict const verdict = region_share_.check_next_request(now);
    bool const may_leave =
        verdict != outbound_verdict::must_stay || request.counted_in_region_share;
    bool const is_download = request.matched_route->kind == request_kind::download;
    bool const wants_to_leave =
        is_spilled(request) || (verdict == outbound_verdict::must_leave && !is_download);
    if (remote && may_leave && wants_to_leave)
        return remote;
    return regional;
}

bool forwarding_engine::try_place(pending_request& request, time_point now, commands& out)
{
    if (now < suspended_until_ || !may_act_on_key(request, now))
        return false;
    std::optional<placement_choice> const chosen = choose_upstream(request, now);
    if (!chosen)
        return false;
    start_send(request, *chosen, now, out);
    return true;
}

void forwarding_engine::start_send(pending_request& request, placement_choice const& chosen,
                                   time_point now, commands& out)
{
    upstream_tracker& tracker = *chosen.tracker;
    service_settings const* const terms = routes_->settings_of(request.service);
    if (terms != nullptr && terms->cold_requests_per_s > 0 && tracker.is_cold(now))
        tracker.spend_cold_token();
    request.object_is_recent = tracker.handled_recently(request.arrival.object);
    counters_.sends_of_recent_objects += request.object_is_recent ? 1 : 0;
    tracker.record_send(request.arrival.object);
    mark_count_changed(tracker);
    if (!request.counted_in_region_share) {
        region_share_.note(chosen.left_region, now);
        request.counted_in_region_share = true;
        counters_.left_region += chosen.left_region ? 1 : 0;
    }
    request.stage = std::get<waiting_request>(std::move(request.stage)).dispatch();
    request.at_upstream = true;
    request.upstream = tracker.known().registration.name;
    request.incarnation = tracker.incarnation();
    request.tried_upstreams.push_back(request.upstream);
    request.sent_at = now;
    if (request.sends == 0)
        request.hold_time = now - request.arrived;
    ++request.sends;
    ++counters_.sends;
    counters_.further_sends += request.sends > 1 ? 1 : 0;
    schedule(request, request.deadline);
    bool const is_non_idempotent = !is_idempotent(request.matched_route->kind);
    out.emplace_back(send_request{
        .id = request.arrival.id,
        .upstream = request.upstream,
        .incarnation = request.incarnation,
        .to = tracker.known().registration.at,
        .time_left = request.deadline - now,
        .connect_timeout = expected_round_trip(tracker) * 2 + std::chrono::milliseconds(250),
        .longest_idle =
            is_non_idempotent ? options_.non_idempotent_idle_limit : std::chrono::hours(1),
        .caller = identity_of_caller(request)});
}

void forwarding_engine::place_waiting(service_name const& service, time_point now, commands& out)
{
    auto const found = waiting_requests_.find(service);
    if (found == waiting_requests_.end() || found->second.empty())
        return;
    auto by_urgency = found->second;
    std::sort(by_urgency.begin(), by_urgency.end(), [&](request_id left, request_id right) {
        pending_request const& a = requests_.at(left);
        pending_request const& b = requests_.at(right);
        if (urgency_of(a) != urgency_of(b))
            return urgency_of(a) < urgency_of(b);
        return a.hold_until < b.hold_until;
    });
    for (request_id const id : by_urgency) {
        if (try_place(requests_.at(id), now, out))
            std::erase(waiting_requests_[service], id);
    }
}

void forwarding_engine::place_all_waiting(time_point now, commands& out)
{
    for (auto const& [service, ids] : waiting_requests_)
        place_waiting(service, now, out);
}

void forwarding_engine::mark_count_changed(upstream_tracker const& tracker)
{
    changed_counts_.insert(tracker.key());
}

} // namespace burdockstep
