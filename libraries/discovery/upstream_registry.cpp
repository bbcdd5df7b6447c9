#include "libraries/discovery/upstream_registry.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// How the start that wrote a registration relates to the known one.
enum class start_order
{
    older,
    same,
    newer
};

start_order order_of_starts(upstream_registration const& known,
                            upstream_registration const& received)
{
    bool const has_moved = known.at != received.at || known.service != received.service;
    if (known.started_ms != 0 && received.started_ms != 0) {
        if (known.started_ms != received.started_ms)
            return received.started_ms < known.started_ms ? start_order::older : start_order::newer;
        return has_moved ? start_order::newer : start_order::same;
    }
    bool const counts_anew = received.heartbeat < known.heartbeat;
    return has_moved || counts_anew ? start_order::newer : start_order::same;
}

} // namespace

upstream_registry::upstream_registry(registry_options options,
                                     std::map<place_name, region_name> regions_by_place)
    : options_(options), regions_by_place_(std::move(regions_by_place))
{}

void upstream_registry::apply_snapshot(std::vector<registration_change> const& snapshot,
                                       time_point now, store_era era)
{
    bool const is_restored_copy = has_snapshot_ && era > era_;
    if (is_restored_copy)
        note_store_returned(now);
    era_ = std::max(era_, era);
    std::set<upstream_name> present_names;
    for (registration_change const& each : snapshot) {
        if (each.registration)
            present_names.insert(each.name);
    }
    apply_changes(snapshot, now);
    for (auto const& [name, upstream] : upstreams_) {
        if (!present_names.contains(name))
            mark_missing(name, now, is_restored_copy || missing_.contains(name));
    }
    has_snapshot_ = true;
    resolve_missing(now);
}

void upstream_registry::apply_changes(std::vector<registration_change> const& changes,
                                      time_point now)
{
    for (registration_change const& each : changes) {
        if (each.registration)
            apply_registration(*each.registration, now);
        else
            mark_missing(each.name, now, false);
    }
    resolve_missing(now);
}

bool upstream_registry::is_significant_change(registration_change const& change) const
{
    auto const found = upstreams_.find(change.name);
    if (!change.registration)
        return found != upstreams_.end() && !found->second.removed;
    if (found == upstreams_.end() || found->second.removed || missing_.contains(change.name))
        return true;
    upstream_registration const& known = found->second.registration;
    upstream_registration const& now = *change.registration;
    bool const became_cold =
        now.cold_left > duration::zero() && known.cold_left == duration::zero();
    bool const is_disputed = disputed_starts_.contains(change.name);
    return is_disputed || order_of_starts(known, now) != start_order::same ||
           now.state != known.state || now.slots != known.slots || now.place != known.place ||
           became_cold;
}

void upstream_registry::apply_registration(upstream_registration const& registration,
                                           time_point now)
{
    auto const [position, is_new] = upstreams_.try_emplace(registration.name);
    known_upstream& known = position->second;
    if (!is_new && is_outdated_copy(known, registration)) {
        mark_missing(registration.name, now, true);
        return;
    }
    start_order const order =
        is_new ? start_order::newer : order_of_starts(known.registration, registration);
    if (order == start_order::older && !is_start_after_clock_step(registration, now))
        return;
    disputed_starts_.erase(registration.name);
    missing_.erase(registration.name);
    bool const is_replacement = order != start_order::same;
    if (is_replacement) {
        auto const region = regions_by_place_.find(registration.place);
        known = {.registration = registration,
                 .region = region == regions_by_place_.end() ? region_name{} : region->second,
                 .first_seen = now,
                 .cold_until = {},
                 .removed_at = {},
                 .era = {}};
        known.evacuated = evacuated_places_.contains(registration.place);
        known.draining = has_leaving_mark(registration);
        ++change_count_;
    }
    known.era = era_;
    if (!is_replacement && registration.heartbeat < known.registration.heartbeat)
        return; // An older write of the same incarnation.
    bool const reports_draining = registration.state == upstream_state::draining;
    bool const was_usable = known.is_usable();
    if (reports_draining)
        keep_leaving_mark(registration.name, registration.incarnation(), now);
    known.draining = known.draining || reports_draining;
    known.removed = false;
    if (registration.cold_left > duration::zero())
        known.cold_until = now + registration.cold_left;
    bool const slots_changed = known.registration.slots != registration.slots;
    known.registration = registration;
    if (was_usable != known.is_usable() || slots_changed)
        ++change_count_;
}

bool upstream_registry::is_start_after_clock_step(upstream_registration const& registration,
                                                  time_point now)
{
    disputed_start const first_seen{
        .started_ms = registration.started_ms, .heartbeat = registration.heartbeat, .since = now};
    auto const [position, is_first] = disputed_starts_.try_emplace(registration.name, first_seen);
    disputed_start& disputed = position->second;
    if (is_first || disputed.started_ms != registration.started_ms) {
        disputed = first_seen;
        return false;
    }
    return registration.heartbeat > disputed.heartbeat &&
           now - disputed.since >= options_.silence_of_ended_start;
}

bool upstream_registry::is_outdated_copy(known_upstream const& known,
                                         upstream_registration const& registration) const
{
    if (known.era == era_)
        return false;
    upstream_registration const& newest = known.registration;
    bool const is_same_or_older_write = registration.heartbeat <= newest.heartbeat;
    if (newest.started_ms != 0 && registration.started_ms != 0) {
        bool const is_removed_incarnation =
            known.removed && registration.started_ms == newest.started_ms;
        return registration.started_ms < newest.started_ms ||
               (is_removed_incarnation && is_same_or_older_write);
    }
    return known.removed ? is_same_or_older_write : registration.heartbeat < newest.heartbeat;
}

void upstream_registry::mark_missing(upstream_name const& name, time_point now,
                                     bool in_restored_copy)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end() || found->second.removed)
        return;
    missing_registration& missing =
        missing_.try_emplace(name, missing_registration{now, true}).first->second;
    // A removal that the store reports in its new history is final.
    missing.in_restored_copy = missing.in_restored_copy && in_restored_copy;
}

std::size_t upstream_registry::count_missing(service_name const& service) const
{
    return static_cast<std::size_t>(
        std::count_if(missing_.begin(), missing_.end(), [&](auto const& item) {
            return upstreams_.at(item.first).registration.service == service;
        }));
}

std::size_t upstream_registry::count_usable() const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams_.begin(), upstreams_.end(),
                      [](auto const& item) { return item.second.is_usable(); }));
}

std::size_t upstream_registry::count_usable(service_name const& service) const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams_.begin(), upstreams_.end(), [&](auto const& item) {
            return item.second.registration.service == service && item.second.is_usable();
        }));
}

void upstream_registry::resolve_missing(time_point now)
{
    std::map<service_name, bool> has_mass_loss;
    for (auto const& [name, missing] : missing_) {
        service_name const& service = upstreams_.at(name).registration.service;
        if (has_mass_loss.contains(service))
            continue;
        auto const usable_count = static_cast<double>(count_usable(service));
        has_mass_loss[service] = static_cast<double>(count_missing(service)) >
                                 options_.mass_loss_fraction * usable_count;
    }
    std::erase_if(missing_, [&](auto const& item) {
        known_upstream& known = upstreams_.at(item.first);
        bool const in_recovery = now < recovery_grace_end_;
        if (item.second.in_restored_copy && in_recovery)
            return false;
        bool const in_grace = now - item.second.since < options_.mass_loss_grace || in_recovery;
        if (has_mass_loss[known.registration.service] && in_grace)
            return false;
        known.removed = true;
        known.removed_at = now;
        known.era = era_;
        ++change_count_;
        return true;
    });
}

void upstream_registry::note_store_returned(time_point now)
{
    recovery_grace_end_ = now + options_.store_recovery_grace;
}

bool upstream_registry::has_leaving_mark(upstream_registration const& registration) const
{
    // Without a start time, a new incarnation can't be told from the marked one.
    if (registration.incarnation() == upstream_incarnation{})
        return false;
    auto const found = leaving_marks_.find(registration.name);
    return found != leaving_marks_.end() && found->second.incarnation == registration.incarnation();
}

void upstream_registry::keep_leaving_mark(upstream_name const& name,
                                          upstream_incarnation incarnation, time_point now)
{
    leaving_mark& mark = leaving_marks_[name];
    if (mark.incarnation <= incarnation)
        mark = {.incarnation = incarnation, .reported_at = now};
}

bool upstream_registry::mark_leaving(upstream_name const& name, upstream_incarnation incarnation,
                                     time_point now)
{
    keep_leaving_mark(name, incarnation, now);
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end() || found->second.draining)
        return false;
    upstream_incarnation const known_incarnation = found->second.registration.incarnation();
    bool const is_known_incarnation = incarnation == known_incarnation ||
                                      incarnation == upstream_incarnation{} ||
                                      known_incarnation == upstream_incarnation{};
    if (!is_known_incarnation)
        return false;
    found->second.draining = true;
    ++change_count_;
    return true;
}

void upstream_registry::mark_cold(upstream_name const& name, duration cold_time_left,
                                  time_point now)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end())
        return;
    found->second.cold_until = now + cold_time_left;
    ++change_count_;
}

void upstream_registry::set_evacuated_places(std::set<place_name> const& places,
                                             duration cold_after_evacuation, time_point now)
{
    if (places == evacuated_places_)
        return;
    for (auto& [name, known] : upstreams_) {
        bool const was_evacuated = known.evacuated;
        known.evacuated = places.contains(known.registration.place);
        // Without requests, the upstream's caches have expired.
        if (was_evacuated && !known.evacuated)
            known.cold_until = std::max(known.cold_until, now + cold_after_evacuation);
    }
    evacuated_places_ = places;
    ++change_count_;
}

bool upstream_registry::expire(time_point now)
{
    std::uint64_t const before = change_count_;
    resolve_missing(now);
    std::erase_if(leaving_marks_, [&](auto const& item) {
        return now - item.second.reported_at > options_.leaving_mark_retention;
    });
    std::erase_if(upstreams_, [&](auto const& item) {
        return item.second.removed &&
               now - item.second.removed_at > options_.removed_upstream_retention;
    });
    std::erase_if(disputed_starts_,
                  [&](auto const& item) { return !upstreams_.contains(item.first); });
    return change_count_ != before;
}

} // namespace burdockstep
