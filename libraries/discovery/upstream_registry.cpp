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
                                       time_point now, store_position read_at)
{
    bool const is_restored_copy = has_snapshot_ && read_at.era > era_;
    if (is_restored_copy)
        note_store_returned(now);
    era_ = std::max(era_, read_at.era);
    std::set<upstream_name> present_names;
    for (registration_change const& each : snapshot) {
        if (each.registration)
            present_names.insert(each.name);
    }
    apply_changes(snapshot, now);
    for (auto const& [name, upstream] : upstreams_) {
        if (present_names.contains(name) || upstream.removed)
            continue;
        auto const missing = missing_.find(name);
        bool const is_lost_with_history =
            missing != missing_.end() && missing->second.lost_with_history_at;
        if (is_restored_copy || is_lost_with_history)
            note_lost_with_history(name, read_at, now);
        else
            apply_removal(name, read_at, now);
    }
    has_snapshot_ = true;
    resolve_missing(now);
}

void upstream_registry::apply_changes(std::vector<registration_change> const& changes,
                                      time_point now)
{
    for (registration_change const& each : changes) {
        if (each.registration)
            apply_write(each, now);
        else
            apply_removal(each.name, each.at, now);
    }
    resolve_missing(now);
}

bool upstream_registry::is_significant_change(registration_change const& change,
                                              time_point now) const
{
    auto const remembered = histories_.find(change.name);
    if (remembered == histories_.end())
        return change.registration.has_value();
    upstream_history const& history = remembered->second.history;
    if (!change.registration)
        return !history.removed_at() || change.at > *history.removed_at();
    auto const found = upstreams_.find(change.name);
    if (found == upstreams_.end() || !history.is_registered() || missing_.contains(change.name))
        return true;
    upstream_registration const& known = found->second.registration;
    upstream_registration const& received = *change.registration;
    bool const is_disputed = disputed_starts_.contains(change.name);
    return is_disputed || changes_cold_end(found->second, received, now) ||
           order_of_starts(known, received) != start_order::same || received.state != known.state ||
           received.slots != known.slots || received.place != known.place;
}

bool upstream_registry::changes_cold_end(known_upstream const& known,
                                         upstream_registration const& registration,
                                         time_point now) const
{
    if (registration.cold_left <= duration::zero())
        return false;
    if (!known.reported_cold_until)
        return true;
    duration const difference = now + registration.cold_left - *known.reported_cold_until;
    return std::chrono::abs(difference) > options_.cold_end_tolerance;
}

bool upstream_registry::try_take_up(upstream_name const& name)
{
    if (upstreams_.size() < options_.max_upstreams || upstreams_.contains(name))
        return true;
    ++refused_registrations_;
    return false;
}

upstream_history& upstream_registry::history_of(upstream_name const& name, time_point now)
{
    remembered_history& remembered = histories_[name];
    remembered.last_used = now;
    return remembered.history;
}

void upstream_registry::apply_write(registration_change const& change, time_point now)
{
    if (!try_take_up(change.name))
        return;
    upstream_registration const& registration = *change.registration;
    upstream_history& history = history_of(change.name, now);
    registration_write received{.started_ms = registration.started_ms,
                                .heartbeat = registration.heartbeat,
                                .position = change.at};
    if (history.has_write()) {
        registration_write const& known = history.newest_write();
        received.start_revision = known.start_revision;
        bool const is_former_start = received.started_ms != 0 && known.started_ms != 0 &&
                                     received.started_ms < known.started_ms;
        if (is_former_start && change.at.era > known.position.era) {
            note_lost_with_history(change.name, change.at, now);
            return;
        }
        if (is_former_start) {
            if (!is_start_after_clock_step(registration, now))
                return;
            ++received.start_revision;
        }
    }
    disputed_starts_.erase(change.name);
    if (history.merge_write(received) && history.is_registered())
        adopt(registration, received.start_revision, now);
    settle(change.name, now);
}

void upstream_registry::apply_removal(upstream_name const& name, store_position at, time_point now)
{
    history_of(name, now).merge_removal(at);
    settle(name, now);
}

void upstream_registry::note_lost_with_history(upstream_name const& name, store_position at,
                                               time_point now)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end() || found->second.removed)
        return;
    missing_registration const first_missing{.since = now, .lost_with_history_at = at};
    missing_registration& missing = missing_.try_emplace(name, first_missing).first->second;
    // A removal that the store reports in its new history is final.
    if (missing.lost_with_history_at)
        missing.lost_with_history_at = std::max(*missing.lost_with_history_at, at);
}

void upstream_registry::adopt(upstream_registration const& registration,
                              std::uint32_t start_revision, time_point now)
{
    auto const [position, is_new] = upstreams_.try_emplace(registration.name);
    known_upstream& known = position->second;
    bool const is_replacement =
        is_new || start_revision != known.start_revision ||
        order_of_starts(known.registration, registration) != start_order::same;
    if (is_replacement) {
        auto const region = regions_by_place_.find(registration.place);
        known = {.registration = registration,
                 .start_revision = start_revision,
                 .region = region == regions_by_place_.end() ? region_name{} : region->second,
                 .first_seen = now,
                 .cold_until = {},
                 .reported_cold_until = {},
                 .removed_at = {}};
        known.evacuated = evacuated_places_.contains(registration.place);
        known.draining = has_leaving_mark(registration);
        ++change_count_;
    }
    bool const reports_draining = registration.state == upstream_state::draining;
    bool const was_usable = known.is_usable();
    if (reports_draining)
        keep_leaving_mark(registration.name, registration.incarnation(), now);
    known.draining = known.draining || reports_draining;
    bool const has_new_cold_end = changes_cold_end(known, registration, now);
    if (has_new_cold_end) {
        known.cold_until = now + registration.cold_left;
        known.reported_cold_until = known.cold_until;
    }
    bool const slots_changed = known.registration.slots != registration.slots;
    known.registration = registration;
    if (was_usable != known.is_usable() || slots_changed || has_new_cold_end)
        ++change_count_;
}

void upstream_registry::settle(upstream_name const& name, time_point now)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end())
        return;
    known_upstream& known = found->second;
    remembered_history& remembered = histories_.at(name);
    update_digest(known, remembered);
    if (remembered.history.is_registered()) {
        missing_.erase(name);
        change_count_ += known.removed ? 1 : 0;
        known.removed = false;
    }
    else if (!known.removed) {
        missing_registration& missing =
            missing_.try_emplace(name, missing_registration{.since = now}).first->second;
        missing.lost_with_history_at.reset();
    }
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

std::size_t upstream_registry::count_cold(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams_.begin(), upstreams_.end(), [&](auto const& item) {
            return item.second.is_usable() && now < item.second.cold_until;
        }));
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
        if (item.second.lost_with_history_at && in_recovery)
            return false;
        bool const in_grace = now - item.second.since < options_.mass_loss_grace || in_recovery;
        if (has_mass_loss[known.registration.service] && in_grace)
            return false;
        // The position is that of the copy that lacked it: it may have been written again since.
        remembered_history& remembered = histories_.at(item.first);
        if (item.second.lost_with_history_at)
            remembered.history.merge_removal(*item.second.lost_with_history_at);
        update_digest(known, remembered);
        if (remembered.history.is_registered())
            return true;
        known.removed = true;
        known.removed_at = now;
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
    expire_histories(now);
    std::erase_if(disputed_starts_,
                  [&](auto const& item) { return !histories_.contains(item.first); });
    return change_count_ != before;
}

void upstream_registry::expire_histories(time_point now)
{
    bool const is_due = now - histories_expired_at_ >= options_.history_expiry_interval;
    if (is_due) {
        histories_expired_at_ = now;
        std::erase_if(histories_, [&](auto const& item) {
            bool const is_in_use = upstreams_.contains(item.first);
            return !is_in_use && now - item.second.last_used > options_.history_retention;
        });
    }
    evict_removed_histories();
}

void upstream_registry::evict_removed_histories()
{
    std::size_t const limit = upstreams_.size() + options_.max_removed_histories;
    if (histories_.size() <= limit)
        return;
    using position = std::map<upstream_name, remembered_history>::iterator;
    std::vector<position> removed;
    for (position each = histories_.begin(); each != histories_.end(); ++each) {
        if (!upstreams_.contains(each->first))
            removed.push_back(each);
    }
    auto const first_kept =
        removed.begin() + static_cast<std::ptrdiff_t>(histories_.size() - limit);
    std::nth_element(removed.begin(), first_kept, removed.end(), [](position left, position right) {
        return left->second.last_used < right->second.last_used;
    });
    std::for_each(removed.begin(), first_kept, [&](position each) { histories_.erase(each); });
}

} // namespace burdockstep
