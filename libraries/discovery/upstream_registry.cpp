#include "libraries/discovery/upstream_registry.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

bool is_new_incarnation(upstream_registration const& before, upstream_registration const& after)
{
    if (before.at != after.at || before.service != after.service)
        return true;
    if (before.started_ms != 0 && after.started_ms != 0)
        return before.started_ms != after.started_ms;
    return after.heartbeat < before.heartbeat;
}

} // namespace

upstream_registry::upstream_registry(registry_options options,
                                     std::map<place_name, region_name> regions)
    : options_(options), regions_(std::move(regions))
{}

void upstream_registry::take_all(std::vector<registration_change> const& all, time_point now)
{
    std::set<upstream_name> present;
    for (registration_change const& each : all) {
        if (each.registration)
            present.insert(each.name);
    }
    take_changes(all, now);
    for (auto const& [name, upstream] : upstreams_) {
        if (!present.contains(name))
            note_missing(name, now);
    }
    filled_ = true;
    judge_missing(now);
}

void upstream_registry::take_changes(std::vector<registration_change> const& changes,
                                     time_point now)
{
    for (registration_change const& each : changes) {
        if (each.registration)
            take(*each.registration, now);
        else
            note_missing(each.name, now);
    }
    judge_missing(now);
}

bool upstream_registry::is_news(registration_change const& change) const
{
    auto const found = upstreams_.find(change.name);
    if (!change.registration)
        return found != upstreams_.end() && !found->second.removed;
    if (found == upstreams_.end() || found->second.removed || missing_.contains(change.name))
        return true;
    upstream_registration const& known = found->second.registration;
    upstream_registration const& now = *change.registration;
    bool const grew_cold = now.cold_left > duration::zero() && known.cold_left == duration::zero();
    return is_new_incarnation(known, now) || now.state != known.state || now.slots != known.slots ||
           now.place != known.place || grew_cold;
}

void upstream_registry::take(upstream_registration const& registration, time_point now)
{
    missing_.erase(registration.name);
    auto const [position, is_new] = upstreams_.try_emplace(registration.name);
    known_upstream& known = position->second;
    bool const is_other = is_new || is_new_incarnation(known.registration, registration);
    if (is_other) {
        auto const region = regions_.find(registration.place);
        known = {.registration = registration,
                 .region = region == regions_.end() ? region_name{} : region->second,
                 .first_seen = now,
                 .cold_until = {},
                 .removed_at = {}};
        known.evacuated = evacuated_.contains(registration.place);
        ++changes_;
    }
    if (!is_other && registration.heartbeat < known.registration.heartbeat)
        return; // An older write of the same incarnation.
    bool const drains = registration.state == upstream_state::draining;
    bool const usable_before = known.is_usable();
    known.draining = known.draining || drains;
    known.removed = false;
    if (registration.cold_left > duration::zero())
        known.cold_until = now + registration.cold_left;
    bool const slots_changed = known.registration.slots != registration.slots;
    known.registration = registration;
    if (usable_before != known.is_usable() || slots_changed)
        ++changes_;
}

void upstream_registry::note_missing(upstream_name const& name, time_point now)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end() || found->second.removed)
        return;
    missing_.try_emplace(name, now);
}

std::size_t upstream_registry::count_missing(service_name const& service) const
{
    return static_cast<std::size_t>(
        std::count_if(missing_.begin(), missing_.end(), [&](auto const& entry) {
            return upstreams_.at(entry.first).registration.service == service;
        }));
}

std::size_t upstream_registry::count_usable(service_name const& service) const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams_.begin(), upstreams_.end(), [&](auto const& entry) {
            return entry.second.registration.service == service && entry.second.is_usable();
        }));
}

void upstream_registry::judge_missing(time_point now)
{
    std::map<service_name, bool> lost_together;
    for (auto const& [name, since] : missing_) {
        service_name const& service = upstreams_.at(name).registration.service;
        if (lost_together.contains(service))
            continue;
        auto const usable = static_cast<double>(count_usable(service));
        lost_together[service] =
            static_cast<double>(count_missing(service)) > options_.mass_loss_part * usable;
    }
    std::erase_if(missing_, [&](auto const& entry) {
        known_upstream& known = upstreams_.at(entry.first);
        bool const in_grace =
            now - entry.second < options_.mass_loss_grace || now < absences_believed_from_;
        if (lost_together[known.registration.service] && in_grace)
            return false;
        known.removed = true;
        known.removed_at = now;
        ++changes_;
        return true;
    });
}

void upstream_registry::note_store_returned(time_point now)
{
    absences_believed_from_ = now + options_.return_grace;
}

bool upstream_registry::note_leaving(upstream_name const& name)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end() || found->second.draining)
        return false;
    found->second.draining = true;
    ++changes_;
    return true;
}

void upstream_registry::note_cold(upstream_name const& name, duration left, time_point now)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end())
        return;
    found->second.cold_until = now + left;
    ++changes_;
}

void upstream_registry::set_evacuated(std::set<place_name> const& places, duration cold_after,
                                      time_point now)
{
    if (places == evacuated_)
        return;
    for (auto& [name, known] : upstreams_) {
        bool const was = known.evacuated;
        known.evacuated = places.contains(known.registration.place);
        // Without requests its caches have run out.
        if (was && !known.evacuated)
            known.cold_until = std::max(known.cold_until, now + cold_after);
    }
    evacuated_ = places;
    ++changes_;
}

bool upstream_registry::expire(time_point now)
{
    std::uint64_t const before = changes_;
    judge_missing(now);
    std::erase_if(upstreams_, [&](auto const& entry) {
        return entry.second.removed && now - entry.second.removed_at > options_.memory;
    });
    return changes_ != before;
}

} // namespace burdockstep
