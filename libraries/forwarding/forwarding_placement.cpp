// Where a request goes: the choice among upstreams and regions.
#include "libraries/forwarding/forwarding_engine.hpp"

#include "libraries/core/digest.hpp"
#include "libraries/steering/balanced_spill_fraction.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Milliseconds that a download's bytes are worth on the way between places and between regions:
/// links between them are narrow and dear.
constexpr double download_between_places_ms = 40;
constexpr double download_between_regions_ms = 150;
/// Upstreams of another place of the region are about as good as those of this one: entries of two
/// places that keep apart have each object worked out twice from the start.
constexpr double other_place_ms = 30;
/// An upstream this much slower than the others is nobody's first choice.
constexpr double slow_pace = 3.0;
/// With a smaller part of the slots free, work stays with the upstreams that remember its objects.
constexpr double scarce_part = 0.6;
/// Sets the order in which objects are spilled apart from the order of their homes.
constexpr std::uint32_t spill_seed = 1;
constexpr double same_place_round_trip_ms = 0.5;
/// Work of which nothing has been seen yet is taken as this part of the latency objective.
constexpr double unseen_work_part = 0.5;
/// Cold upstreams take about twice as long.
constexpr double cold_slowness = 2.0;
/// Prefers, at equal cost, the upstream with more room, and the same one for the same object.
constexpr double occupancy_preference_ms = 6;
constexpr double object_preference_ms = 1000;
/// Another region's upstream keeps this many slots for its own region's entries.
constexpr unsigned slots_left_to_region = 1;

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Keeps the upstream with the least preference; a slow one only where there is no other: a region
/// isn't left for it.
struct preferred_upstream
{
    upstream_track const* track = nullptr;
    double least = 0;
    bool is_slow = false;

    void weigh(upstream_track const& other, double at)
    {
        bool const slow = other.pace() >= slow_pace;
        bool const better =
            track == nullptr || (is_slow && !slow) || (slow == is_slow && at < least);
        if (!better)
            return;
        track = &other;
        least = at;
        is_slow = slow;
    }
};

/// Slots of several upstreams.
struct slot_sum
{
    unsigned slots = 0;
    unsigned free = 0;

    void add(upstream_track const& track, reported_slot_usage const& book, time_point now)
    {
        slots += track.slots();
        free += track.slots() - std::min(track.slots(), track.occupancy(book, now));
    }
    double free_part() const
    {
        return slots > 0 ? static_cast<double>(free) / static_cast<double>(slots) : 0.0;
    }
};

/// Short name of a service between entries.
std::uint32_t key_of(service_name const& service)
{
    return static_cast<std::uint32_t>(hash_of(service.get()));
}

double unit_hash(std::uint64_t object, upstream_key key)
{
    std::uint64_t const mixed =
        hash_of(std::string_view(reinterpret_cast<char const*>(&object), sizeof object), key.get());
    return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
}

} // namespace

duration forwarding_engine::round_trip(upstream_track const& track) const
{
    switch (track.how_far()) {
    case distance::same_place:
        return duration(static_cast<std::int64_t>(same_place_round_trip_ms * 1'000));
    case distance::same_region:
        return place_delay_;
    case distance::other_region:
        break;
    }
    auto const found = region_delays_.find(track.known().region);
    return found == region_delays_.end() ? options_.usual_region_delay : found->second;
}

void forwarding_engine::note_round_trip(upstream_name const& upstream, duration measured)
{
    auto const found = tracks_.find(upstream);
    if (found == tracks_.end() || found->second.how_far() == distance::same_place)
        return;
    // The shortest one seen lately: a busy upstream accepts late.
    bool const in_region = found->second.how_far() == distance::same_region;
    duration& kept =
        in_region
            ? place_delay_
            : region_delays_.try_emplace(found->second.known().region, options_.usual_region_delay)
                  .first->second;
    kept = measured < kept ? measured : kept + (measured - kept) / 16;
}

duration forwarding_engine::expected_work(pending const& which, bool familiar) const
{
    service_pool const& pool = pools_.at(which.service);
    duration const unfamiliar = pool.unfamiliar_work.typical();
    duration const seen = familiar && pool.work.typical() > duration::zero()
                              ? std::min(pool.work.typical(), std::max(unfamiliar, duration(1)))
                              : unfamiliar;
    if (seen > duration::zero())
        return seen;
    return std::chrono::duration_cast<duration>(which.which->latency_objective * unseen_work_part);
}

bool forwarding_engine::may_run_in(route const& which, region_name const& region) const
{
    auto const& homes = which.home_regions;
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

bool forwarding_engine::is_cold_sender(upstream_track const& track) const
{
    // The entry with the highest hash among those of the upstream's region; of all where none is.
    instance_name const* best = nullptr;
    std::uint64_t best_hash = 0;
    bool best_near = false;
    for (auto const& [name, region] : entries_) {
        bool const near = region == track.known().region;
        std::uint64_t const hash = hash_of(name.get(), track.key().get());
        bool const better =
            best == nullptr || (near && !best_near) || (near == best_near && hash > best_hash);
        if (!better)
            continue;
        best = &name;
        best_hash = hash;
        best_near = near;
    }
    return best == nullptr || *best == options_.instance;
}

bool forwarding_engine::may_send_to(upstream_track& track, double cold_rate, time_point now) const
{
    if (!track.may_send(now))
        return false;
    if (cold_rate <= 0 || !track.is_cold(now))
        return true;
    return is_cold_sender(track) && track.has_cold_room(cold_rate, now);
}

void forwarding_engine::set_turn(upstream_track& track) const
{
    std::uint64_t const own = hash_of(options_.instance.get(), track.key().get());
    unsigned ahead = 0;
    for (instance_name const& each : region_entries_) {
        if (each != options_.instance && hash_of(each.get(), track.key().get()) > own)
            ++ahead;
    }
    track.set_entries_ahead(ahead);
}

bool forwarding_engine::is_slot_mine(upstream_track& track, unsigned free, time_point now) const
{
    duration const free_for = track.note_free(now);
    if (track.how_far() == distance::other_region)
        return free > slots_left_to_region;
    unsigned const ahead = track.entries_ahead();
    return free > ahead || free_for >= options_.slot_turn * (ahead + 1 - free);
}

std::optional<double> forwarding_engine::cost_of(pending const& which, upstream_track& track,
                                                 time_point now)
{
    auto const& tried = which.tried;
    if (std::find(tried.begin(), tried.end(), track.known().registration.name) != tried.end())
        return std::nullopt;
    service_terms const* const terms = routes_->terms_of(which.service);
    double const cold_rate = terms == nullptr ? 0.0 : terms->cold_requests_per_s;
    if (!may_send_to(track, cold_rate, now))
        return std::nullopt;
    unsigned const taken = track.occupancy(book_, now);
    if (taken >= track.slots()) {
        track.note_full();
        return std::nullopt;
    }
    if (!is_slot_mine(track, track.slots() - taken, now))
        return std::nullopt;
    double cost = milliseconds(round_trip(track));
    if (which.which->kind == request_kind::download) {
        if (track.how_far() == distance::same_region)
            cost += download_between_places_ms;
        else if (track.how_far() == distance::other_region)
            cost += download_between_regions_ms;
    }
    double const slowness =
        std::max(track.slowness(now), track.pace()) * (track.is_cold(now) ? cold_slowness : 1.0);
    cost += preference(which, track);
    bool const familiar = track.remembers(which.arrival.object);
    cost += milliseconds(expected_work(which, familiar)) * slowness;
    cost += milliseconds(which.which->latency_objective) * track.failure_rate();
    cost += occupancy_preference_ms * taken / track.slots();
    return cost;
}

double forwarding_engine::preference(pending const& which, upstream_track const& track) const
{
    double const far = track.how_far() == distance::same_place ? 0.0 : other_place_ms;
    if (which.arrival.object == 0)
        return far;
    return far + object_preference_ms * unit_hash(which.arrival.object, track.key());
}

forwarding_engine::pool_survey forwarding_engine::survey(pending const& which, time_point now) const
{
    preferred_upstream near;
    preferred_upstream far;
    slot_sum region_slots;
    for (upstream_track const* const each : pools_.at(which.service).upstreams) {
        if (!each->is_able())
            continue;
        bool const in_region = each->how_far() != distance::other_region;
        if (in_region)
            region_slots.add(*each, book_, now);
        if (may_run_in(*which.which, each->known().region))
            (in_region ? near : far).weigh(*each, preference(which, *each));
    }
    return {.home = near.track, .far_home = far.track, .free_near = region_slots.free_part()};
}

bool forwarding_engine::is_spilled(pending const& which) const
{
    // Downloads stay: their bytes would fill the links between regions.
    if (which.which->kind == request_kind::download || which.arrival.object == 0)
        return false;
    double const place = unit_hash(which.arrival.object, upstream_key(spill_seed));
    return pools_.at(which.service).spill.leaves(place);
}

double forwarding_engine::free_part(service_name const& service, bool in_region,
                                    time_point now) const
{
    slot_sum sum;
    for (upstream_track const* const each : pools_.at(service).upstreams) {
        if (each->is_able() && (each->how_far() != distance::other_region) == in_region)
            sum.add(*each, book_, now);
    }
    return sum.free_part();
}

double forwarding_engine::planned_spill(service_pool const& pool) const
{
    region_capacity weight{.region_entries = static_cast<double>(region_entries_.size()),
                           .total_entries = static_cast<double>(entries_.size())};
    for (upstream_track const* const each : pool.upstreams) {
        if (!each->is_able())
            continue;
        weight.total_slots += each->slots();
        weight.region_slots += each->how_far() == distance::other_region ? 0 : each->slots();
    }
    return balanced_spill_fraction(weight);
}

void forwarding_engine::begin_spill(service_pool& pool, time_point now)
{
    if (pool.spill.has_begun() || pool.upstreams.empty())
        return;
    if (!first_arrival_)
        first_arrival_ = now;
    if (entries_.size() <= 1) {
        // While the other entries aren't known, the region can't be weighed beside them.
        if (now - *first_arrival_ > options_.entries_patience)
            pool.spill.begin(0, now);
        return;
    }
    bool const is_first = std::none_of(pools_.begin(), pools_.end(), [](auto const& each) {
        return each.second.spill.has_begun();
    });
    pool.spill.begin(planned_spill(pool), now);
    if (is_first)
        share_.begin(pool.spill.part(), now);
}

std::vector<wire::service_part> forwarding_engine::spilled_parts() const
{
    std::vector<wire::service_part> parts;
    for (auto const& [service, pool] : pools_) {
        if (!pool.spill.has_begun())
            continue;
        parts.push_back({.service = key_of(service),
                         .thousandths = static_cast<std::uint16_t>(pool.spill.part() * 1'000)});
    }
    return parts;
}

void forwarding_engine::adopt_parts(wire::slot_report const& report, time_point now)
{
    auto const sender = entries_.find(instance_name(report.instance.get()));
    if (sender == entries_.end() || sender->second != options_.region)
        return;
    for (wire::service_part const& each : report.parts.get()) {
        for (auto& [service, pool] : pools_) {
            double const part = each.thousandths / 1'000.0;
            if (key_of(service) == each.service && pool.spill.adopt(part, now))
                share_.begin(part, now);
        }
    }
}

std::optional<forwarding_engine::choice> forwarding_engine::choose(pending const& which,
                                                                   time_point now)
{
    auto const pool = pools_.find(which.service);
    if (pool == pools_.end())
        return std::nullopt;
    std::optional<choice> near;
    std::optional<choice> far;
    pool_survey const seen = survey(which, now);
    bool const has_object = which.arrival.object != 0;
    bool const scarce = has_object && seen.free_near < scarce_part;
    for (upstream_track* const each : pool->second.upstreams) {
        bool const leaves = each->how_far() == distance::other_region;
        bool const familiar =
            each == seen.home || each == seen.far_home || each->remembers(which.arrival.object);
        if ((scarce || leaves) && !familiar && has_object)
            continue;
        if (!may_run_in(*which.which, each->known().region))
            continue;
        std::optional<double> const cost = cost_of(which, *each, now);
        if (!cost)
            continue;
        std::optional<choice>& best = leaves ? far : near;
        if (!best || *cost < best->cost_ms)
            best = {.track = each, .cost_ms = *cost, .left_region = leaves};
    }
    if (seen.home == nullptr)
        return far;
    outbound_verdict const verdict = share_.check_next_request(now);
    bool const may_leave = verdict != outbound_verdict::must_stay || which.share_counted;
    bool const heavy = which.which->kind == request_kind::download;
    bool const wants_to_leave =
        is_spilled(which) || (verdict == outbound_verdict::must_leave && !heavy);
    if (far && may_leave && wants_to_leave)
        return far;
    return near;
}

bool forwarding_engine::try_place(pending& which, time_point now, commands& out)
{
    if (now < suspended_until_)
        return false;
    std::optional<choice> const chosen = choose(which, now);
    if (!chosen)
        return false;
    start_send(which, *chosen, now, out);
    return true;
}

void forwarding_engine::start_send(pending& which, choice const& chosen, time_point now,
                                   commands& out)
{
    upstream_track& track = *chosen.track;
    service_terms const* const terms = routes_->terms_of(which.service);
    if (terms != nullptr && terms->cold_requests_per_s > 0 && track.is_cold(now))
        track.spend_cold_room();
    which.familiar = track.remembers(which.arrival.object);
    track.note_sent(which.arrival.object);
    mark_changed(track);
    if (!which.share_counted) {
        share_.note(chosen.left_region, now);
        which.share_counted = true;
        counters_.left_region += chosen.left_region ? 1 : 0;
    }
    which.stage = std::get<waiting_request>(std::move(which.stage)).dispatch();
    which.at_upstream = true;
    which.upstream = track.known().registration.name;
    which.tried.push_back(which.upstream);
    which.sent_at = now;
    if (which.sends == 0)
        which.held = now - which.arrived;
    ++which.sends;
    ++counters_.sends;
    counters_.further_sends += which.sends > 1 ? 1 : 0;
    schedule(which, which.limit);
    bool const once = !is_idempotent(which.which->kind);
    out.emplace_back(
        send_request{.id = which.arrival.id,
                     .upstream = which.upstream,
                     .to = track.known().registration.at,
                     .time_left = which.limit - now,
                     .connect_timeout = round_trip(track) * 2 + std::chrono::milliseconds(250),
                     .longest_idle = once ? options_.idle_limit_once : std::chrono::hours(1)});
}

void forwarding_engine::place_waiting(service_name const& service, time_point now, commands& out)
{
    auto const found = waiting_.find(service);
    if (found == waiting_.end() || found->second.empty())
        return;
    auto order = found->second;
    std::sort(order.begin(), order.end(), [&](request_id left, request_id right) {
        pending const& a = requests_.at(left);
        pending const& b = requests_.at(right);
        if (a.which->rank != b.which->rank)
            return a.which->rank < b.which->rank;
        return a.hold_until < b.hold_until;
    });
    for (request_id const id : order) {
        if (try_place(requests_.at(id), now, out))
            std::erase(waiting_[service], id);
    }
}

void forwarding_engine::place_all_waiting(time_point now, commands& out)
{
    for (auto const& [service, ids] : waiting_)
        place_waiting(service, now, out);
}

void forwarding_engine::mark_changed(upstream_track const& track)
{
    changed_.insert(track.key());
}

} // namespace burdockstep
