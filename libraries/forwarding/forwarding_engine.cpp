#include "libraries/forwarding/forwarding_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Waiting requests look again after this time: slots also become free by others' reports' age.
constexpr duration waiting_interval = std::chrono::milliseconds(7);
constexpr duration probe_check_interval = std::chrono::milliseconds(100);
constexpr duration probe_timeout = std::chrono::milliseconds(400);
/// Entries tell all their counts twice a second: silence for longer means that they are gone.
constexpr duration report_lifetime = std::chrono::milliseconds(1'600);
/// Without a caller's or a route's limit a request may take this long.
constexpr duration longest_request = std::chrono::seconds(60);

} // namespace

char const* name_of(refusal why)
{
    switch (why) {
    case refusal::no_configuration:
        return "no-configuration";
    case refusal::no_route:
        return "no-route";
    case refusal::no_upstream:
        return "no-upstream";
    case refusal::no_room:
        return "no-room";
    case refusal::deadline_passed:
        return "deadline-passed";
    case refusal::upstream_failed:
        return "upstream-failed";
    case refusal::answer_timeout:
        return "answer-timeout";
    case refusal::stopping:
        return "stopping";
    }
    return "unknown";
}

char const* name_of(send_result result)
{
    switch (result) {
    case send_result::answered:
        return "answered";
    case send_result::shed:
        return "shed";
    case send_result::other_instance:
        return "other-instance";
    case send_result::not_connected:
        return "not-connected";
    case send_result::broken:
        return "broken";
    }
    return "unknown";
}

forwarding_engine::forwarding_engine(forwarding_options options, random_source& random)
    : options_(std::move(options)), random_(random), admission_(options_.admission, random),
      share_(options_.shares), place_delay_(options_.usual_place_delay)
{}

configuration_version forwarding_engine::version() const
{
    return document_ ? document_->version : configuration_version{};
}

std::set<service_name> forwarding_engine::services() const
{
    std::set<service_name> named;
    for (auto const& [name, pool] : pools_)
        named.insert(name);
    return named;
}

forwarding_engine::commands
forwarding_engine::take_document(std::shared_ptr<routing_document const> document, time_point now)
{
    commands out;
    if (document_ && document->version <= document_->version)
        return out;
    document_ = std::move(document);
    routes_ = std::make_unique<route_table>(document_);
    for (service_terms const& each : document_->services)
        pools_.try_emplace(each.name);
    place_all_waiting(now, out);
    return out;
}

forwarding_engine::commands
forwarding_engine::take_upstreams(std::map<upstream_name, known_upstream> const& upstreams,
                                  time_point now)
{
    commands out;
    for (auto& [service, pool] : pools_)
        pool.upstreams.clear();
    tracks_by_key_.clear();
    for (auto const& [name, known] : upstreams) {
        distance how_far = distance::other_region;
        if (known.registration.place == options_.place)
            how_far = distance::same_place;
        else if (known.region == options_.region)
            how_far = distance::same_region;
        auto const [position, is_new] = tracks_.try_emplace(name, options_.tracks, known, how_far);
        upstream_track& track = position->second;
        if (is_new)
            set_turn(track);
        else
            track.update(known);
        if (!known.removed)
            pools_[known.registration.service].upstreams.push_back(&track);
    }
    // Requests under way still refer to an upstream after the registry has forgotten it.
    std::erase_if(tracks_, [&](auto const& entry) {
        return !upstreams.contains(entry.first) && entry.second.own_under_way() == 0;
    });
    for (auto const& [name, track] : tracks_)
        tracks_by_key_.emplace(track.key(), &track);
    place_all_waiting(now, out);
    return out;
}

void forwarding_engine::take_entries(std::map<instance_name, region_name> const& entries)
{
    for (auto const& [name, region] : entries_) {
        if (!entries.contains(name))
            book_.forget(name);
    }
    entries_ = entries;
    region_entries_.clear();
    for (auto const& [name, region] : entries_) {
        if (region == options_.region)
            region_entries_.push_back(name);
    }
    options_.retries.entries = std::max<std::size_t>(entries_.size(), 1);
    for (auto& [name, track] : tracks_)
        set_turn(track);
}

forwarding_engine::commands forwarding_engine::take_slot_report(wire::slot_report const& report,
                                                                time_point now)
{
    commands out;
    adopt_parts(report, now);
    std::set<service_name> with_freed_slots;
    for (upstream_key const each : book_.apply_report(report, now)) {
        auto const found = tracks_by_key_.find(each);
        if (found != tracks_by_key_.end())
            with_freed_slots.insert(found->second->known().registration.service);
    }
    for (service_name const& each : with_freed_slots)
        place_waiting(each, now, out);
    return out;
}

forwarding_engine::commands forwarding_engine::resume(time_point now)
{
    commands out;
    suspended_until_ = now;
    place_all_waiting(now, out);
    return out;
}

forwarding_engine::commands forwarding_engine::arrive(request_arrival arrival, time_point now)
{
    commands out;
    ++counters_.arrived;
    request_id const id = arrival.id;
    pending& which = requests_[id];
    which.arrival = std::move(arrival);
    which.arrived = now;
    which.limit = now + which.arrival.time_left.value_or(longest_request);
    if (!routes_) {
        end(which, refusal::no_configuration, now, out);
        return out;
    }
    which.document = document_;
    which.which = routes_->find(which.arrival.host, which.arrival.path);
    if (which.which == nullptr) {
        end(which, routes_doubtful_ ? refusal::no_configuration : refusal::no_route, now, out);
        return out;
    }
    which.limit = std::min(which.limit, now + which.which->timeout);
    which.service = splits_.next(*which.which);
    service_pool& pool = pools_[which.service];
    pool.retries.note_request(now, options_.retries.window);
    if (requests_.size() > options_.most_requests) {
        end(which, refusal::no_room, now, out);
        return out;
    }
    begin_spill(pool, now);
    bool const placed = try_place(which, now, out);
    pool.spill.note(placed);
    if (!placed)
        wait_again(which, now, out);
    return out;
}

void forwarding_engine::wait_again(pending& which, time_point now, commands& out)
{
    auto const& upstreams = pools_.at(which.service).upstreams;
    double slots = 0;
    for (upstream_track const* const each : upstreams) {
        bool const counts = each->is_able() && each->how_far() != distance::other_region;
        slots += counts ? each->slots() : 0;
    }
    if (upstreams.empty() && suspended_until_ <= now) {
        end(which, refusal::no_upstream, now, out);
        return;
    }
    duration const work = expected_work(which, true);
    auto const entries = static_cast<double>(std::max<std::size_t>(region_entries_.size(), 1));
    auto const& waiting = waiting_[which.service];
    auto const ahead = std::count_if(waiting.begin(), waiting.end(), [&](request_id each) {
        return requests_.at(each).which->rank <= which.which->rank;
    });
    admission_case const weighed{.elapsed = now - which.arrived,
                                 .time_left = which.limit - now,
                                 .objective = which.which->latency_objective,
                                 .expected_work = work,
                                 .requests_ahead = static_cast<double>(ahead),
                                 .slots_per_s =
                                     slots / std::chrono::duration<double>(work).count() / entries};
    std::optional<duration> const hold = admission_.hold_for(weighed);
    if (!hold) {
        end(which, refusal::no_room, now, out);
        return;
    }
    which.hold_until = now + *hold;
    waiting_[which.service].push_back(which.arrival.id);
    schedule(which, std::min(which.hold_until, now + waiting_interval));
}

forwarding_engine::commands forwarding_engine::tick(time_point now)
{
    commands out;
    std::set<service_name> looked_at;
    while (!schedule_.empty() && schedule_.begin()->first <= now) {
        pending& which = requests_.at(schedule_.begin()->second);
        if (which.at_upstream) {
            end_at_limit(which, now, out);
            continue;
        }
        request_id const id = which.arrival.id;
        service_name const service = which.service;
        // In the order of the queue, not of the clock: others may come before this one.
        if (looked_at.insert(service).second)
            place_waiting(service, now, out);
        auto const still = requests_.find(id);
        if (still == requests_.end() || still->second.at_upstream)
            continue;
        if (now >= still->second.hold_until || now >= still->second.limit) {
            std::erase(waiting_[service], id);
            end(still->second,
                now >= still->second.limit ? refusal::deadline_passed : refusal::no_room, now, out);
            continue;
        }
        schedule(still->second, std::min(still->second.hold_until, now + waiting_interval));
    }
    if (now >= next_probe_check_) {
        next_probe_check_ = now + probe_check_interval;
        book_.expire(now, report_lifetime);
        for (auto& [service, pool] : pools_) {
            if (pool.spill.is_step_due(now))
                pool.spill.step(now, free_part(service, false, now), planned_spill(pool));
        }
        send_probes(now, out);
    }
    return out;
}

std::optional<time_point> forwarding_engine::next_tick() const
{
    if (schedule_.empty())
        return std::nullopt;
    return schedule_.begin()->first;
}

void forwarding_engine::send_probes(time_point now, commands& out)
{
    if (!routes_)
        return;
    for (auto& [name, track] : tracks_) {
        if (!track.wants_probe(now))
            continue;
        service_terms const* const terms = routes_->terms_of(track.known().registration.service);
        if (terms == nullptr)
            continue;
        track.note_probe_sent();
        ++counters_.probes;
        out.emplace_back(probe_upstream{.upstream = name,
                                        .to = track.known().registration.at,
                                        .path = terms->health_path,
                                        .timeout = probe_timeout});
    }
}

forwarding_engine::commands forwarding_engine::take_probe(upstream_name const& upstream,
                                                          probe_report const& report,
                                                          time_point now)
{
    commands out;
    auto const found = tracks_.find(upstream);
    if (found == tracks_.end())
        return out;
    found->second.note_probe(report, now);
    if (report.is_other_instance)
        out.emplace_back(tell_leaving{.upstream = upstream});
    if (report.healthy)
        place_waiting(found->second.known().registration.service, now, out);
    return out;
}

void forwarding_engine::schedule(pending& which, time_point due)
{
    unschedule(which);
    which.due = due;
    schedule_.emplace(due, which.arrival.id);
}

void forwarding_engine::unschedule(pending const& which)
{
    schedule_.erase({which.due, which.arrival.id});
}

std::vector<wire::slot_count_entry> forwarding_engine::take_changed_counts()
{
    std::vector<wire::slot_count_entry> counts;
    auto const changed = std::exchange(changed_, {});
    if (changed.empty())
        return counts;
    for (auto const& [name, track] : tracks_) {
        if (changed.contains(track.key())) {
            counts.push_back({.upstream = track.key().get(),
                              .under_way = static_cast<std::uint16_t>(track.own_under_way())});
        }
    }
    return counts;
}

std::vector<wire::slot_count_entry> forwarding_engine::all_counts() const
{
    std::vector<wire::slot_count_entry> counts;
    for (auto const& [name, track] : tracks_) {
        if (track.own_under_way() > 0) {
            counts.push_back({.upstream = track.key().get(),
                              .under_way = static_cast<std::uint16_t>(track.own_under_way())});
        }
    }
    return counts;
}

} // namespace burdockstep
