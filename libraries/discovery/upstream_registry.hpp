/// The upstreams that may be used, from the registry, their own answers and peers.
#pragma once

#include "libraries/core/clock.hpp"
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
    bool draining = false; ///< By its own word or a peer's. It stays so for this incarnation.
    bool removed = false;  ///< Its entry has gone.
    time_point removed_at;
    bool evacuated = false; ///< Its place gets nothing.

    /// True when it may get requests.
    bool is_usable() const { return !draining && !removed && !evacuated; }
};

/// Limits of the registry.
struct registry_options
{
    /// After the store was away, the loss of many entries is believed after this time: upstreams
    /// that live write theirs again within two seconds of the store's return.
    duration store_recovery_grace = std::chrono::milliseconds(2'200);
    /// A removed upstream is forgotten after this time: what is still under way has ended.
    duration removed_upstream_retention = std::chrono::seconds(30);
    /// When this part of a service's upstreams lose their entries together, the registry lost
    /// them, not the upstreams: they are kept for `mass_loss_grace`.
    double mass_loss_fraction = 0.6;
    duration mass_loss_grace = std::chrono::milliseconds(1'000);
};

/// Keeps the upstreams. Draining and removal are final for an incarnation.
class upstream_registry
{
public:
    upstream_registry(registry_options options, std::map<place_name, region_name> regions_by_place);

    /// Takes the whole registry: what isn't in it has no entry.
    void apply_snapshot(std::vector<registration_change> const& snapshot, time_point now);
    void apply_changes(std::vector<registration_change> const& changes, time_point now);
    /// True when a change says more than that a known upstream still lives.
    bool is_significant_change(registration_change const& change) const;
    /// The store answers again after it was away.
    void note_store_returned(time_point now);
    /// Somebody learnt that an upstream leaves. Returns true when that is news.
    bool mark_leaving(upstream_name const& name);
    /// A health answer told how long an upstream is cold.
    void mark_cold(upstream_name const& name, duration cold_time_left, time_point now);
    void set_evacuated_places(std::set<place_name> const& places, duration cold_after_evacuation,
                              time_point now);

    /// Applies what has become due. Returns true when a usable set has changed.
    bool expire(time_point now);

    std::map<upstream_name, known_upstream> const& upstreams() const { return upstreams_; }
    /// Grows with each change of what is usable, where, or how cold.
    std::uint64_t changes() const { return change_count_; }

private:
    void apply_registration(upstream_registration const& registration, time_point now);
    void mark_missing(upstream_name const& name, time_point now);
    void resolve_missing(time_point now);
    std::size_t count_missing(service_name const& service) const;
    std::size_t count_usable(service_name const& service) const;

    registry_options options_;
    std::map<place_name, region_name> regions_by_place_;
    std::map<upstream_name, known_upstream> upstreams_;
    std::map<upstream_name, time_point> missing_since_; ///< Entries that have gone, not judged yet.
    std::set<place_name> evacuated_places_;
    time_point recovery_grace_end_;
    bool has_snapshot_ = false; ///< The registry has been read once.
    std::uint64_t change_count_ = 1;
};

} // namespace burdockstep
