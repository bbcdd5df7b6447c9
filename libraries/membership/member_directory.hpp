/// The entries and which of them are alive, as seen by one entry.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/core/random.hpp"
#include "libraries/membership/watch_ring.hpp"
#include "libraries/wire/messages.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockstep {

/// Time limits and thresholds of membership.
struct membership_options
{
    duration heartbeat_interval = std::chrono::milliseconds(400);
    /// A watched entry from which no heartbeat arrives for longer is considered lost.
    duration suspicion_timeout = std::chrono::milliseconds(2'000);
    /// With up to this many entries, every entry watches all others.
    std::size_t full_mesh_limit = 16;
    /// With more entries, each one is watched by this many others; see watch_ring.
    std::size_t watchers_per_entry = 3;
    /// Number of successive heartbeats that carry each update of a member.
    unsigned update_repeats = 4;
};

/// One entry as the platform lists it.
struct listed_member
{
    instance_name instance;
    place_name place;
    region_name region;
    address callers;
    address operators;
    address peers;
    bool leaving = false;

    friend bool operator==(listed_member const&, listed_member const&) = default;
};

/// One run of an instance, identified by its incarnation alone: two runs never share one, even when
/// they start at the same moment. The start time only orders the runs of an instance.
struct member_run
{
    incarnation_id incarnation;
    std::uint64_t started_ms = 0; ///< Wall clock, milliseconds since 1970.
};

/// Makes the run of a process that starts now, with a random incarnation.
member_run make_member_run(random_source& random);

/// Name of the state in logs and operator answers, such as "serving".
char const* name_of(wire::member_state state);

/// One entry and the state of its current run, as far as known.
struct member_view
{
    listed_member listed;
    incarnation_id incarnation; ///< 0 until the first heartbeat or update about it arrives.
    std::uint64_t started_ms = 0;
    epoch_number epoch;
    wire::member_state state = wire::member_state::lost;
    configuration_version configuration;
    time_point last_heard;

    /// Returns true when it has been heard lately and isn't stopping.
    bool is_running() const
    {
        return state == wire::member_state::serving && !listed.leaving && incarnation.get() != 0;
    }
    /// Returns true when look-ups may return it: it is running and has a configuration.
    bool is_serving() const { return is_running() && configuration.get() != 0; }
    /// Returns true when a request that carries its ticket can still be forwarded to it.
    bool is_reachable() const
    {
        return state != wire::member_state::lost && incarnation.get() != 0;
    }
};

/// Keeps the state of all listed entries, and makes and handles the heartbeats between them.
class member_directory
{
public:
    member_directory(membership_options options, instance_name self, member_run run,
                     time_point now);

    /// Replaces the list of entries by one from the platform, or from a peer while the platform is
    /// unreachable.
    void apply_list(std::vector<listed_member> const& members, time_point now);
    /// Returns true when this is the peer address of another listed entry, whose datagrams may be
    /// processed.
    bool is_listed_peer(address const& from) const;
    /// Returns true when another entry is listed with a peer address of this IP.
    bool is_listed_ip(std::uint32_t ip) const;
    /// Applies a heartbeat. The sender's address must have been checked before.
    void handle_heartbeat(wire::heartbeat const& beat, time_point now);

    /// Sets the state of this entry that the next heartbeats announce.
    void set_own_state(wire::member_state state, epoch_number epoch,
                       configuration_version configuration);
    /// Marks watched entries that were silent for too long as lost. Call it once per heartbeat
    /// interval.
    void mark_silent_as_lost(time_point now);
    /// Makes the next heartbeat, to be sent to all addresses of `heartbeat_targets`.
    wire::heartbeat make_heartbeat();
    std::vector<address> heartbeat_targets() const;

    /// Counts the changes that are visible to look-ups and operators: of the list, and of the run,
    /// epoch, state or configuration of a member. Heartbeats without such a change don't count.
    std::uint64_t change_count() const { return change_count_; }
    /// All entries, including this one.
    std::vector<member_view> members() const;
    member_view const& self() const;
    std::vector<listed_member> list() const;

private:
    struct pending_update
    {
        instance_name instance;
        unsigned sends_left = 0;
    };

    void rebuild_watch_lists();
    void apply_record(wire::member_record const& record, bool reported_by_itself, time_point now);
    void queue_update(instance_name const& instance);
    static wire::member_record to_record(member_view const& view, std::uint64_t beat);

    membership_options options_;
    instance_name self_;
    std::map<instance_name, member_view> members_;
    std::map<instance_name, std::uint64_t> beat_numbers_;
    std::set<address> peer_addresses_; ///< Of all entries but this one.
    std::uint64_t change_count_ = 1;
    std::vector<pending_update> pending_updates_;
    std::vector<instance_name> watchers_; ///< The entries that watch this one.
    std::vector<instance_name> watched_;  ///< The entries that this one watches.
};

} // namespace burdockstep
