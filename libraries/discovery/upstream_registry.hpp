/// The upstreams and whether they are usable, from the platform's registry, from the upstreams' own
/// answers and from peers.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/store_position.hpp"
#include "libraries/discovery/upstream_registration.hpp"

#include <map>
#include <set>
#include <vector>

namespace burdockstep {

/// One upstream as this entry knows it.
struct known_upstream
{
    upstream_registration registration;
    region_name region;
    time_point first_seen;
    time_point cold_until;
    bool draining = false; ///< Reported by itself or by a peer; final for this incarnation.
    bool removed = false;  ///< Its registration is gone.
    time_point removed_at;
    bool evacuated = false; ///< Its place is evacuated and receives no requests.
    store_era era;          ///< Of the store when its registration was last taken or removed.

    /// Returns true when it may receive requests.
    bool is_usable() const { return !draining && !removed && !evacuated; }
};

/// Time limits and thresholds of the upstream registry.
struct registry_options
{
    /// After an outage of the store, a mass loss of registrations takes effect only after this
    /// time: live upstreams write their registrations again within two seconds of the store's
    /// recovery.
    duration store_recovery_grace = std::chrono::milliseconds(2'200);
    /// An incarnation that was reported as leaving stays unusable for this time, even if its
    /// registration is lost and written again meanwhile.
    duration leaving_mark_retention = std::chrono::minutes(10);
    /// A removed upstream is forgotten after this time; by then the requests that were in progress
    /// at it have ended.
    duration removed_upstream_retention = std::chrono::seconds(30);
    /// The start that is known has ended when it writes nothing for this time while another start
    /// writes: several intervals in which a live upstream writes.
    duration silence_of_ended_start = std::chrono::seconds(6);
    /// When more than this fraction of a service's usable upstreams lose their registrations at the
    /// same time, the store is assumed to have lost them while the upstreams still run: the
    /// upstreams stay usable for `mass_loss_grace`.
    double mass_loss_fraction = 0.6;
    duration mass_loss_grace = std::chrono::milliseconds(1'000);
};

/// Tracks the state of all upstreams. Once an incarnation drains, it never becomes usable again.
/// Of two starts of an upstream the one with the later start time is the present one, unless it is
/// silent while the other goes on writing: then a clock has stepped back.
class upstream_registry
{
public:
    upstream_registry(registry_options options, std::map<place_name, region_name> regions_by_place);

    /// Applies the whole content of the platform's registry: upstreams that aren't in it have no
    /// registration. When `era` is newer than before, the content comes from an older copy: what it
    /// lacks is kept for a time, and what it has isn't newer than what is known.
    void apply_snapshot(std::vector<registration_change> const& snapshot, time_point now,
                        store_era era = {});
    void apply_changes(std::vector<registration_change> const& changes, time_point now);
    /// Returns true when a change carries more than a new heartbeat of a known upstream or the
    /// removal of an unknown one. While two starts of an upstream write, all their heartbeats
    /// count.
    bool is_significant_change(registration_change const& change) const;
    /// Starts the grace period for mass losses. Called when the store answers again after an
    /// outage.
    void note_store_returned(time_point now);
    /// Marks one incarnation of an upstream as draining. The mark is kept for an incarnation whose
    /// registration isn't known yet or is lost for a time. Returns true when a known upstream has
    /// become unusable by it.
    bool mark_leaving(upstream_name const& name, upstream_incarnation incarnation, time_point now);
    /// Marks an upstream as cold (still warming up) for the time that it reported in a
    /// health answer.
    void mark_cold(upstream_name const& name, duration cold_time_left, time_point now);
    void set_evacuated_places(std::set<place_name> const& places, duration cold_after_evacuation,
                              time_point now);

    /// Removes upstreams whose grace period is over and forgets those removed long ago. Returns
    /// true when an upstream was removed.
    bool expire(time_point now);

    std::map<upstream_name, known_upstream> const& upstreams() const { return upstreams_; }
    /// Number of upstreams that may receive requests.
    std::size_t count_usable() const;
    /// Counts the changes so far: new and restarted upstreams, changes of which ones are usable or
    /// of their slots, calls of `mark_cold`, and changed evacuations.
    std::uint64_t changes() const { return change_count_; }

private:
    /// The newest incarnation of an upstream that was reported as leaving.
    struct leaving_mark
    {
        upstream_incarnation incarnation;
        time_point reported_at;
    };

    /// A registration that is gone from the store.
    struct missing_registration
    {
        time_point since;
        bool in_restored_copy = false; ///< Lost with the store's history: it may be written again.
    };

    /// A start that writes registrations though a newer start is known.
    struct disputed_start
    {
        std::int64_t started_ms = 0;
        std::int64_t heartbeat = 0; ///< Of its first registration since the newer start's last one.
        time_point since;
    };

    /// Returns true if this incarnation, whose start is known, was reported as leaving.
    bool has_leaving_mark(upstream_registration const& registration) const;
    void keep_leaving_mark(upstream_name const& name, upstream_incarnation incarnation,
                           time_point now);
    void apply_registration(upstream_registration const& registration, time_point now);
    /// Returns true if the start of this registration, which is older than the known one by the
    /// clock, is the present one after all: it goes on writing, and the known one doesn't. A single
    /// write of a former start may be performed late.
    bool is_start_after_clock_step(upstream_registration const& registration, time_point now);
    /// Returns true for a registration that an older copy of the store has brought back: a former
    /// incarnation, or one that was removed.
    bool is_outdated_copy(known_upstream const& known,
                          upstream_registration const& registration) const;
    void mark_missing(upstream_name const& name, time_point now, bool in_restored_copy);
    void resolve_missing(time_point now);
    std::size_t count_missing(service_name const& service) const;
    std::size_t count_usable(service_name const& service) const;

    registry_options options_;
    std::map<place_name, region_name> regions_by_place_;
    std::map<upstream_name, known_upstream> upstreams_;
    std::map<upstream_name, missing_registration> missing_; ///< Gone, not removed yet.
    std::map<upstream_name, leaving_mark> leaving_marks_;
    std::map<upstream_name, disputed_start> disputed_starts_;
    std::set<place_name> evacuated_places_;
    time_point recovery_grace_end_;
    store_era era_;             ///< Of the last snapshot.
    bool has_snapshot_ = false; ///< The whole registry has been applied at least once.
    std::uint64_t change_count_ = 1;
};

} // namespace burdockstep
