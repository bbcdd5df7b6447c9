#include "libraries/forwarding/forwarding_engine.hpp"

#include "libraries/dispatch/place_relay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstep {

namespace {

/// Interval at which placing a waiting request is tried again. Slots also become usable with time
/// alone, for example when another entry's report expires.
constexpr duration waiting_retry_interval = std::chrono::milliseconds(7);
constexpr duration maintenance_interval = std::chrono::milliseconds(100);
constexpr duration probe_timeout = std::chrono::milliseconds(400);
/// Entries report all their counts twice a second. An entry without a report for this long is
/// gone, and its counts are dropped.
constexpr duration slot_report_lifetime = std::chrono::milliseconds(1'600);
/// Time limit of a request whose caller gave none. The route's timeout may be shorter.
constexpr duration max_request_duration = std::chrono::seconds(60);

wire::upstream_request_count count_of(upstream_tracker const& tracker)
{
    return {.upstream = tracker.key().get(),
            .under_way = static_cast<std::uint16_t>(tracker.own_requests_under_way())};
}

} // namespace

char const* name_of(refusal reason)
{
    switch (reason) {
    case refusal::no_configuration:
        return "no-configuration";
    case refusal::no_route:
        return "no-route";
    case refusal::no_upstream:
        return "no-upstream";
    case refusal::no_room:
        return "no-room";
    case refusal::upstreams_paused:
        return "upstreams-paused";
    case refusal::deadline_passed:
        return "deadline-passed";
    case refusal::upstream_failed:
        return "upstream-failed";
    case refusal::answer_timeout:
        return "answer-timeout";
    case refusal::stopping:
        return "stopping";
    case refusal::unknown_key:
        return "unknown-key";
    case refusal::unconfirmed_key:
        return "unconfirmed-key";
    case refusal::over_quota:
        return "over-quota";
    case refusal::unknown_quota:
        return "unknown-quota";
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
    case send_result::not_permitted:
        return "not-permitted";
    case send_result::no_room_here:
        return "no-room-here";
    }
    return "unknown";
}

forwarding_engine::forwarding_engine(forwarding_options options, random_source& random)
    : options_(std::move(options)), random_(random), admission_(options_.admission, random),
      stop_admission_(options_.stop_admission), key_trust_(options_.key_trust),
      cold_senders_(options_.cold_sender, options_.instance),
      region_share_(options_.region_shift_limits),
      place_round_trip_(options_.default_place_round_trip)
{}

configuration_version forwarding_engine::version() const
{
    return document_ ? document_->version : configuration_version{};
}

std::set<service_name> forwarding_engine::services() const
{
    std::set<service_name> service_names;
    for (auto const& [name, pool] : pools_)
        service_names.insert(name);
    return service_names;
}

std::vector<request_under_way>
forwarding_engine::oldest_requests_under_way(std::size_t max_requests, time_point now) const
{
    std::vector<request_under_way> found;
    for (auto const& [id, request] : requests_) {
        if (request.discards_answer)
            continue;
        found.push_back({.id = id,
                         .caller_id = request.arrival.caller_id,
                         .route = request.matched_route->name,
                         .at_upstream = request.at_upstream,
                         .upstream = request.upstream,
                         .age = now - request.arrived,
                         .time_left = request.deadline - now});
    }
    std::sort(found.begin(), found.end(),
              [](auto const& left, auto const& right) { return left.age > right.age; });
    found.resize(std::min(found.size(), max_requests));
    return found;
}

std::vector<service_times> forwarding_engine::median_service_times() const
{
    std::vector<service_times> times;
    for (auto const& [name, pool] : pools_)
        times.push_back({.service = name,
                         .recent_object = pool.recent_object_service_time.median(),
                         .new_object = pool.new_object_service_time.median()});
    return times;
}

forwarding_engine::commands
forwarding_engine::update_document(std::shared_ptr<routing_document const> document, time_point now)
{
    commands out;
    if (document_ && document->version <= document_->version)
        return out;
    document_ = std::move(document);
    routes_ = std::make_unique<route_table>(document_);
    teams_ = team_directory(document_->teams);
    for (service_settings const& each : document_->services)
        pools_.try_emplace(each.name);
    place_all_waiting(now, out);
    return out;
}

forwarding_engine::commands
forwarding_engine::update_upstreams(std::map<upstream_name, known_upstream> const& upstreams,
                                    time_point now)
{
    commands out;
    if (!first_upstreams_at_ && !upstreams.empty())
        first_upstreams_at_ = now;
    for (auto& [service, pool] : pools_)
        pool.upstreams.clear();
    trackers_by_key_.clear();
    for (auto const& [name, known] : upstreams) {
        upstream_proximity proximity = upstream_proximity::other_region;
        if (known.registration.place == options_.place)
            proximity = upstream_proximity::same_place;
        else if (known.region == options_.region)
            proximity = upstream_proximity::same_region;
        auto const [inserted, is_new] =
            trackers_.try_emplace(name, options_.tracker_options, known, proximity);
        upstream_tracker& tracker = inserted->second;
        if (is_new)
            update_slot_precedence(tracker, own_region_entries_, {});
        update_tracker(tracker, known, is_new, now);
        if (!known.removed)
            pools_[known.registration.service].upstreams.push_back(&tracker);
    }
    // Upstreams that the registry has forgotten are kept while requests to them are under way.
    std::erase_if(trackers_, [&](auto const& name_and_tracker) {
        return !upstreams.contains(name_and_tracker.first) &&
               name_and_tracker.second.own_requests_under_way() == 0;
    });
    for (auto const& [name, tracker] : trackers_)
        trackers_by_key_.emplace(tracker.key(), &tracker);
    place_all_waiting(now, out);
    return out;
}

void forwarding_engine::update_entries(std::map<instance_name, region_name> const& entries)
{
    if (entries == entries_)
        return;
    auto const previous_region_entries = own_region_entries_;
    for (auto const& [name, region] : entries_) {
        if (!entries.contains(name))
            peer_counts_.forget(name);
    }
    entries_ = entries;
    cold_senders_are_outdated_ = true;
    own_region_entries_.clear();
    for (auto const& [name, region] : entries_) {
        if (region == options_.region)
            own_region_entries_.push_back(name);
    }
    options_.retry_budget.entries = std::max<std::size_t>(entries_.size(), 1);
    // Both lists are sorted by name.
    std::vector<instance_name> added;
    std::vector<instance_name> gone;
    std::set_difference(own_region_entries_.begin(), own_region_entries_.end(),
                        previous_region_entries.begin(), previous_region_entries.end(),
                        std::back_inserter(added));
    std::set_difference(previous_region_entries.begin(), previous_region_entries.end(),
                        own_region_entries_.begin(), own_region_entries_.end(),
                        std::back_inserter(gone));
    for (auto& [name, tracker] : trackers_)
        update_slot_precedence(tracker, added, gone);
}

forwarding_engine::commands forwarding_engine::handle_slot_report(wire::slot_report const& report,
                                                                  time_point now)
{
    commands out;
    adopt_spill_fractions(report, now);
    place_waiting_for(peer_counts_.apply_report(report, now), now, out);
    return out;
}

forwarding_engine::commands
forwarding_engine::handle_place_report(wire::place_slot_report const& report, time_point now)
{
    commands out;
    adopt_spill_fractions(report.sums, now);
    instance_name const stored_as = counts_name_of(place_name(report.place.get()));
    place_waiting_for(peer_counts_.apply_report(stored_as, report.sums, now), now, out);
    return out;
}

void forwarding_engine::place_waiting_for(std::vector<upstream_key> const& freed, time_point now,
                                          commands& out)
{
    std::set<service_name> services_with_freed_slots;
    for (upstream_key const each : freed) {
        auto const found = trackers_by_key_.find(each);
        if (found != trackers_by_key_.end())
            services_with_freed_slots.insert(found->second->known().registration.service);
    }
    for (service_name const& each : services_with_freed_slots)
        place_waiting(each, now, out);
}

forwarding_engine::commands forwarding_engine::resume(time_point now)
{
    commands out;
    suspended_until_ = now;
    place_all_waiting(now, out);
    return out;
}

forwarding_engine::commands forwarding_engine::begin_stop(time_point process_end, time_point now)
{
    commands out;
    stop_admission_.begin(process_end);
    for (auto& [service, waiting] : waiting_requests_) {
        auto const waiting_before = waiting;
        for (request_id const id : waiting_before) {
            pending_request& request = requests_.at(id);
            if (stop_admission_.may_send(request.deadline))
                continue;
            std::erase(waiting, id);
            end_with_refusal(request, refusal::stopping, now, out);
        }
    }
    return out;
}

forwarding_engine::commands forwarding_engine::end_all_requests(time_point now)
{
    commands out;
    std::vector<request_id> unanswered;
    for (auto const& [id, request] : requests_) {
        if (!request.discards_answer)
            unanswered.push_back(id);
    }
    waiting_requests_.clear();
    for (request_id const id : unanswered)
        end_with_refusal(requests_.at(id), refusal::stopping, now, out);
    return out;
}

forwarding_engine::commands forwarding_engine::submit(request_arrival arrival, time_point now)
{
    commands out;
    ++counters_.arrived;
    request_id const id = arrival.id;
    pending_request& request = requests_[id];
    request.arrival = std::move(arrival);
    request.arrived = now;
    request.deadline = now + request.arrival.time_left.value_or(max_request_duration);
    if (!routes_) {
        end_with_refusal(request, refusal::no_configuration, now, out);
        return out;
    }
    request.document = document_;
    request.matched_route = routes_->find(request.arrival.host, request.arrival.path);
    if (request.matched_route == nullptr) {
        end_with_refusal(
            request, routes_incomplete_ ? refusal::no_configuration : refusal::no_route, now, out);
        return out;
    }
    request.deadline = std::min(request.deadline, now + request.matched_route->timeout);
    if (auto const reason = identify_caller(request, now)) {
        end_with_refusal(request, *reason, now, out);
        return out;
    }
    if (!stop_admission_.may_take(request.deadline)) {
        end_with_refusal(request, refusal::stopping, now, out);
        return out;
    }
    request.service = service_splits_.next_service(*request.matched_route);
    service_pool& pool = pools_[request.service];
    pool.retry_budget.record_request(now, options_.retry_budget.window);
    if (requests_.size() > options_.max_requests_under_way) {
        end_with_refusal(request, refusal::no_room, now, out);
        return out;
    }
    if (take_quota_token(request, now, out))
        place_new_request(request, now, out);
    return out;
}

void forwarding_engine::place_new_request(pending_request& request, time_point now, commands& out)
{
    service_pool& pool = pools_.at(request.service);
    begin_spill(pool, now);
    bool const placed = try_place(request, now, out);
    pool.spill.note(placed);
    if (!placed)
        hold_or_refuse(request, now, out);
}

void forwarding_engine::hold_or_refuse(pending_request& request, time_point now, commands& out)
{
    if (!may_act_on_key(request, now)) {
        end_with_refusal(request, refusal::unconfirmed_key, now, out);
        return;
    }
    auto const& upstreams = pools_.at(request.service).upstreams;
    double slots = 0;
    for (upstream_tracker const* const each : upstreams) {
        bool const is_counted =
            each->is_eligible(now) && each->proximity() != upstream_proximity::other_region;
        slots += is_counted ? each->slots() : 0;
    }
    std::optional<time_point> const accepted_from = acceptance_time(request);
    if (!accepted_from && suspended_until_ <= now) {
        end_with_refusal(request, refusal::no_upstream, now, out);
        return;
    }
    duration const recent_object_service_time = expected_service_time(request, true);
    auto const entries = static_cast<double>(std::max<std::size_t>(own_region_entries_.size(), 1));
    auto const& waiting = waiting_requests_[request.service];
    auto const ahead = std::count_if(waiting.begin(), waiting.end(), [&](request_id each) {
        return urgency_of(requests_.at(each)) <= urgency_of(request);
    });
    admission_inputs const inputs{
        .elapsed = now - request.arrived,
        .time_left = request.deadline - now,
        .target_latency = request.matched_route->latency_objective,
        .expected_service_time = recent_object_service_time,
        .requests_ahead = static_cast<double>(ahead),
        .slots_freed_per_s =
            slots / std::chrono::duration<double>(recent_object_service_time).count() / entries};
    std::optional<duration> const hold = admission_.allowed_hold_time(inputs);
    if (!hold) {
        end_with_refusal(request, refusal::no_room, now, out);
        return;
    }
    if (accepted_from && *accepted_from > now + *hold) {
        end_with_refusal(request, refusal::upstreams_paused, now, out);
        return;
    }
    request.hold_until = now + *hold;
    waiting_requests_[request.service].push_back(request.arrival.id);
    schedule(request, std::min(request.hold_until, now + waiting_retry_interval));
}

forwarding_engine::commands forwarding_engine::tick(time_point now)
{
    commands out;
    std::set<service_name> checked_services;
    while (!schedule_.empty() && schedule_.begin()->first <= now) {
        pending_request& request = requests_.at(schedule_.begin()->second);
        if (request.at_upstream) {
            handle_deadline(request, now, out);
            continue;
        }
        request_id const id = request.arrival.id;
        if (request.awaits_quota) {
            end_with_refusal(request, refusal::deadline_passed, now, out);
            continue;
        }
        service_name const service = request.service;
        // Tries all waiting requests of the service by urgency, as others may precede this one.
        if (checked_services.insert(service).second)
            place_waiting(service, now, out);
        auto const unplaced = requests_.find(id);
        if (unplaced == requests_.end() || unplaced->second.at_upstream)
            continue;
        if (now >= unplaced->second.hold_until || now >= unplaced->second.deadline) {
            std::erase(waiting_requests_[service], id);
            end_with_refusal(unplaced->second,
                             now >= unplaced->second.deadline ? refusal::deadline_passed
                                                              : refusal::no_room,
                             now, out);
            continue;
        }
        schedule(unplaced->second,
                 std::min(unplaced->second.hold_until, now + waiting_retry_interval));
    }
    if (now >= next_maintenance_) {
        next_maintenance_ = now + maintenance_interval;
        refuse_unconfirmed_waiting(now, out);
        peer_counts_.expire(now, slot_report_lifetime);
        update_cold_senders(now);
        update_paces(now);
        for (auto& [service, pool] : pools_) {
            if (pool.spill.is_step_due(now))
                pool.spill.step(now, free_slot_fraction(service, false, now),
                                planned_spill_fraction(pool, now));
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
    std::erase_if(ejected_upstreams_, [&](upstream_name const& each) {
        auto const found = trackers_.find(each);
        return found == trackers_.end() || !found->second.is_ejected();
    });
    for (upstream_name const& name : ejected_upstreams_) {
        upstream_tracker& tracker = trackers_.at(name);
        if (!tracker.needs_probe(now))
            continue;
        service_settings const* const terms =
            routes_->settings_of(tracker.known().registration.service);
        if (terms == nullptr)
            continue;
        tracker.record_probe_sent();
        ++counters_.probes;
        out.emplace_back(probe_upstream{.upstream = name,
                                        .incarnation = tracker.incarnation(),
                                        .to = tracker.known().registration.at,
                                        .path = terms->health_path,
                                        .timeout = probe_timeout});
    }
}

forwarding_engine::commands forwarding_engine::handle_probe_report(upstream_name const& upstream,
                                                                   upstream_incarnation incarnation,
                                                                   probe_report const& report,
                                                                   time_point now)
{
    commands out;
    auto const found = trackers_.find(upstream);
    if (found == trackers_.end())
        return out;
    if (found->second.incarnation() != incarnation) {
        found->second.record_cancelled_probe();
        return out;
    }
    found->second.record_probe(report, now);
    watch_pace(found->second);
    if (report.is_other_instance)
        mark_leaving(found->second, out);
    if (report.healthy)
        place_waiting(found->second.known().registration.service, now, out);
    return out;
}

void forwarding_engine::schedule(pending_request& request, time_point wake_at)
{
    unschedule(request);
    request.wake_at = wake_at;
    schedule_.emplace(wake_at, request.arrival.id);
}

void forwarding_engine::unschedule(pending_request const& request)
{
    schedule_.erase({request.wake_at, request.arrival.id});
}

std::vector<wire::upstream_request_count> forwarding_engine::take_changed_counts()
{
    std::vector<wire::upstream_request_count> counts;
    for (upstream_key const each : std::exchange(changed_counts_, {})) {
        auto const found = trackers_by_key_.find(each);
        if (found != trackers_by_key_.end())
            counts.push_back(count_of(*found->second));
    }
    return counts;
}

std::vector<wire::upstream_request_count> forwarding_engine::all_counts() const
{
    std::vector<wire::upstream_request_count> counts;
    for (auto const& [name, tracker] : trackers_) {
        if (tracker.own_requests_under_way() > 0)
            counts.push_back(count_of(tracker));
    }
    return counts;
}

} // namespace burdockstep
