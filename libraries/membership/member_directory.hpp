/// The entries and which of them are alive, as seen by one entry.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/entry_capacity.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/core/random.hpp"
#include "libraries/membership/member_digest.hpp"
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
    /// A member that another entry reports as lost is asked for a heartbeat. It is considered lost
    /// when none arrives for this long.
    duration confirmation_timeout = std::chrono::milliseconds(1'200);
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
    entry_capacity capacity; ///< Unknown where the entry, or the peer that named it, tells none.

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

/// Keeps the state of all listed entries, and makes and handles the messages between them.
///
/// The list may name entries that ended long ago. Entries watch each other on a ring of those that
/// live, so that the watchers of an entry are never all gone; see watch_ring. Each member that is
/// lost or was never heard is asked for a heartbeat by its watchers on the same ring: it is
/// found again once it can be reached.
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
    /// Applies the records of an entry whose view differs. The sender's address must have been
    /// checked before.
    void handle_records(wire::member_records const& received, time_point now);

    /// Sets the state of this entry that the next heartbeats announce.
    void set_own_state(wire::member_state state, epoch_number epoch,
                       configuration_version configuration);
    /// Marks watched entries that were silent for too long as lost, and those that are reported as
    /// lost and don't answer. Call it once per heartbeat interval.
    void mark_silent_as_lost(time_point now);
    /// Makes the next heartbeat, to be sent to all addresses of `heartbeat_targets`.
    wire::heartbeat make_heartbeat();
    /// Makes the messages with the updates that didn't fit in the heartbeat made just now, for the
    /// same targets. When many members change together, updates would otherwise queue for seconds.
    std::vector<wire::member_records> make_further_updates();
    std::vector<address> heartbeat_targets() const;
    /// Makes a heartbeat for an entry that asked for one. With `wants_answer` set it may be sent to
    /// all addresses of `take_probe_targets`.
    wire::heartbeat make_answer();
    /// Returns the entries that must be asked for a heartbeat now: those that have become silent,
    /// are reported as lost, or may have returned. Call it once per heartbeat interval.
    std::vector<address> take_probe_targets(time_point now);
    /// Makes the records that correct the view of a heartbeat's sender where it differs.
    std::vector<wire::member_records> make_repairs(wire::heartbeat const& beat, time_point now);

    /// Counts the changes that are visible to look-ups and operators: of the list, and of the run,
    /// epoch, state or configuration of a member. Heartbeats without such a change don't count.
    std::uint64_t change_count() const { return change_count_; }
    /// All entries, including this one.
    std::vector<member_view> members() const;
    member_view const& self() const;
    std::vector<listed_member> list() const;

private:
    enum class record_source
    {
        member_itself,
        other_entry
    };
    struct known_member
    {
        member_view view;
        std::uint64_t heartbeat_number = 0;
        time_point listed_at;
        time_point heard_itself_at; ///< When its own last heartbeat arrived.
        time_point reachable_since;
    };
    struct pending_update
    {
        instance_name instance;
        unsigned sends_left = 0;
    };
    /// A member that may be lost and is asked for a heartbeat, until it answers or is given up.
    struct suspicion
    {
        bool is_reported = false;           ///< Another entry considers it lost.
        std::uint64_t heartbeat_number = 0; ///< Of that entry's report.
        time_point gives_up_at;
    };

    bool is_on_ring(known_member const& member, time_point now) const;
    std::vector<instance_name> names_on_ring(time_point now) const;
    void rebuild_watch_lists(time_point now);
    void watch(std::vector<instance_name> const& names, time_point now);
    void apply_record(wire::member_record const& record, record_source source, time_point now);
    void apply_own_record(wire::member_record const& record);
    /// Takes a newer record over. Returns true when other entries must be told of it.
    bool update_member(known_member& member, wire::member_record const& record, time_point now);
    /// Ends the suspicion against a member unless the record may be older than the suspicion.
    /// Returns true when the member had been reported as lost.
    bool clear_suspicion(wire::member_record const& newer_record, bool is_certain);
    void record_loss_report(wire::member_record const& record, time_point now);
    void suspect_some_members(time_point now);
    void give_up_suspected_members(time_point now);
    static time_point silent_since(known_member const& member, time_point watched_since);
    void mark_as_lost(known_member& member, std::uint64_t heartbeat_number);
    void queue_update(instance_name const& instance);
    /// Returns the records of at most `count` pending updates from `first` on.
    std::vector<wire::member_record> take_updates(std::size_t first, std::size_t count);
    wire::member_record record_to_send(known_member const& member) const;
    static wire::member_record to_record(known_member const& member);
    wire::heartbeat make_beat(std::uint16_t& next_bucket);
    member_digest_table digests(std::uint16_t bucket_count) const;
    wire::member_digests next_digests(std::uint16_t& next_bucket) const;
    void add_returning_members(std::vector<address>& targets);

    membership_options options_;
    instance_name self_;
    std::map<instance_name, known_member> members_;
    std::set<address> peer_addresses_; ///< Of all entries but this one.
    std::uint64_t change_count_ = 1;
    std::vector<pending_update> pending_updates_;
    std::map<instance_name, suspicion> suspicions_;
    /// Lost members that another entry considers alive.
    std::set<instance_name> doubted_losses_;
    std::vector<instance_name> watchers_; ///< The entries that watch this one.
    /// The entries that this one watches, with the time since when.
    std::map<instance_name, time_point> watched_;
    watch_ring ring_;
    std::size_t checks_due_ = 0;   ///< Number of members to be suspected because others are lost.
    std::uint64_t next_check_ = 0; ///< Position on the ring.
    bool watches_all_ = true;      ///< All entries on the ring watch each other.
    bool watch_lists_are_stale_ = false;
    time_point introductions_end_; ///< When the next member that was never heard leaves the ring.
    instance_name last_asked_;     ///< Of the lost members that are asked in turn.
    /// Heartbeats and answers have turns of their own, so that each go through all buckets.
    std::uint16_t next_heartbeat_bucket_ = 0;
    std::uint16_t next_answer_bucket_ = 0;
    time_point last_repair_at_; ///< Records are sent to entries with other views at intervals.
};

} // namespace burdockstep
