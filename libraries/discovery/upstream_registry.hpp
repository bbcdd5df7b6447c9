/// The upstreams and whether they are usable, from the platform's registry, from the upstreams' own
/// answers and from peers.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/store_position.hpp"
#include "libraries/discovery/upstream_history.hpp"
#include "libraries/discovery/upstream_registration.hpp"

#include <array>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockstep {

/// One upstream as this entry knows it.
struct known_upstream
{
    upstream_registration registration;
    std::uint32_t start_revision = 0; ///< See `registration_write`.
    region_name region;
    time_point first_seen;
    time_point cold_until;
    std::optional<time_point> reported_cold_until; ///< By its registration; may be past.
    bool draining = false; ///< Reported by itself or by a peer; final for this incarnation.
    bool removed = false;  ///< Its registration is gone.
    time_point removed_at;
    bool evacuated = false; ///< Its place is evacuated and receives no requests.

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
    /// The newest write and removal of an upstream are remembered for this time after the removal:
    /// longer than the store may perform a write late or may be away.
    duration history_retention = std::chrono::minutes(10);
    /// Histories are searched for unused ones at most once in this time: it takes a look at each.
    duration history_expiry_interval = std::chrono::seconds(1);
    /// Of more removed upstreams than this, those that were removed first are forgotten.
    std::size_t max_removed_histories = 4'096;
    /// Further upstreams aren't taken up, so that registrations without end don't end the process.
    std::size_t max_upstreams = std::numeric_limits<std::size_t>::max();
    /// The start that is known has ended when it writes nothing for this time while another start
    /// writes: several intervals in which a live upstream writes.
    duration silence_of_ended_start = std::chrono::seconds(6);
    /// When more than this fraction of a service's usable upstreams lose their registrations at the
    /// same time, the store is assumed to have lost them while the upstreams still run: the
    /// upstreams stay usable for `mass_loss_grace`.
    double mass_loss_fraction = 0.6;
    duration mass_loss_grace = std::chrono::milliseconds(1'000);
    /// Each registration of a cold upstream repeats when it will be warm, and is read sooner or
    /// later. Times that differ by no more than this are the same: longer than a reader's interval.
    duration cold_end_tolerance = std::chrono::milliseconds(500);
};

/// Tracks the state of all upstreams. Once an incarnation drains, it never becomes usable again.
/// Of two starts of an upstream the one with the later start time is the present one, unless it is
/// silent while the other goes on writing: then a clock has stepped back.
class upstream_registry
{
public:
    upstream_registry(registry_options options, std::map<place_name, region_name> regions_by_place);

    /// Applies the whole content of the platform's registry as of `read_at`: upstreams that aren't
    /// in it have no registration. When its era is newer than before, the content comes from an
    /// older copy: what it lacks is kept for a time, and what it has isn't newer than what is
    /// known.
    void apply_snapshot(std::vector<registration_change> const& snapshot, time_point now,
                        store_position read_at = {});
    void apply_changes(std::vector<registration_change> const& changes, time_point now);
    /// Applies what another entry knows. The records may be old, repeated or in any order.
    void merge_records(std::vector<upstream_record> const& records, time_point now);
    /// Returns true when other entries must be told of a change: it carries more than a new
    /// heartbeat of a known upstream or the removal of an unknown one. While two starts of an
    /// upstream write, all its heartbeats count.
    bool is_significant_change(registration_change const& change, time_point now) const;
    /// Returns what is known of these upstreams, ready to be sent to other entries. Upstreams of
    /// which nothing is known are left out.
    std::vector<upstream_record> records_of(std::vector<upstream_name> const& names,
                                            time_point now) const;

    /// Number of groups, by the hash of the name, into which upstreams are divided to be compared.
    static constexpr std::size_t digest_buckets = 32;
    using bucket_digests = std::array<std::uint32_t, digest_buckets>;
    /// Returns a digest for each bucket of the upstreams that are registered and not draining, with
    /// their starts. It is the same at entries that know the same.
    bucket_digests const& registered_digests() const { return registered_digests_; }
    /// Returns the names of all upstreams in these buckets, removed ones too.
    std::vector<upstream_name> names_in(std::set<std::size_t> const& buckets) const;
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
    /// Number of usable upstreams that are cold.
    std::size_t count_cold(time_point now) const;
    /// Counts the registrations so far that weren't taken up because of `max_upstreams`.
    std::uint64_t refused_registrations() const { return refused_registrations_; }
    std::size_t max_upstreams() const { return options_.max_upstreams; }
    /// Counts the changes so far: new and restarted upstreams, changes of which ones are usable or
    /// of their slots, reports that one is cold, and changed evacuations.
    std::uint64_t changes() const { return change_count_; }

private:
    /// The newest incarnation of an upstream that was reported as leaving.
    struct leaving_mark
    {
        upstream_incarnation incarnation;
        time_point reported_at;
    };

    /// A registration that is gone from the store, of an upstream that isn't removed yet.
    struct missing_registration
    {
        time_point since;
        /// Set if it was lost with the store's history, at this position: it may be written again.
        std::optional<store_position> lost_with_history_at;
    };

    /// What is remembered of an upstream's registration.
    struct remembered_history
    {
        upstream_history history;
        time_point last_used;     ///< When something of it was last read or told.
        std::uint32_t digest = 0; ///< Its part in the digest of its bucket.
    };

    /// A start that writes registrations though a newer start is known.
    struct disputed_start
    {
        std::int64_t started_ms = 0;
        std::int64_t heartbeat = 0; ///< Of its first registration since the newer start's last one.
        time_point since;
    };

    /// Returns true if a registration that is read now reports another end of the cold time than
    /// the registrations before it. What else is known of it doesn't count: others may not know it.
    bool changes_cold_end(known_upstream const& known, upstream_registration const& registration,
                          time_point now) const;
    /// Returns true if this incarnation, whose start is known, was reported as leaving.
    bool has_leaving_mark(upstream_registration const& registration) const;
    void keep_leaving_mark(upstream_name const& name, upstream_incarnation incarnation,
                           time_point now);
    /// Returns true if it is known or may be taken up. Counts it if it may not.
    bool try_take_up(upstream_name const& name);
    upstream_history& history_of(upstream_name const& name, time_point now);
    void apply_write(registration_change const& change, time_point now);
    void apply_removal(upstream_name const& name, store_position at, time_point now);
    /// Notes that a restored copy lacks the registration, which may be written again.
    void note_lost_with_history(upstream_name const& name, store_position at, time_point now);
    /// Takes over a write that is newer than the known one.
    void adopt(upstream_registration const& registration, std::uint32_t start_revision,
               time_point now);
    /// Brings the upstream's state in line with its history.
    void settle(upstream_name const& name, time_point now);
    /// Brings the digest of the upstream's bucket in line with its history and state.
    void update_digest(known_upstream const& known, remembered_history& remembered);
    /// Returns true if the start of this registration, which is older than the known one by the
    /// clock, is the present one after all: it goes on writing, and the known one doesn't. A single
    /// write of a former start may be performed late.
    bool is_start_after_clock_step(upstream_registration const& registration, time_point now);
    void expire_histories(time_point now);
    /// Forgets the removed upstreams that are one too many, those least recently used first.
    void evict_removed_histories();
    void resolve_missing(time_point now);
    std::size_t count_missing(service_name const& service) const;
    std::size_t count_usable(service_name const& service) const;

    registry_options options_;
    std::map<place_name, region_name> regions_by_place_;
    std::map<upstream_name, known_upstream> upstreams_;
    std::map<upstream_name, remembered_history> histories_;
    std::map<upstream_name, missing_registration> missing_;
    std::map<upstream_name, leaving_mark> leaving_marks_;
    std::map<upstream_name, disputed_start> disputed_starts_;
    std::set<place_name> evacuated_places_;
    bucket_digests registered_digests_{};
    time_point histories_expired_at_; ///< When histories were last searched for unused ones.
    time_point recovery_grace_end_;
    store_era era_;             ///< Of the last snapshot.
    bool has_snapshot_ = false; ///< The whole registry has been applied at least once.
    std::uint64_t change_count_ = 1;
    std::uint64_t refused_registrations_ = 0;
};

} // namespace burdockstep
