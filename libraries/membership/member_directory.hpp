/// Who the entries are and which of them are alive, as one entry sees it.
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

/// Limits and periods of membership.
struct membership_options
{
    duration heartbeat_interval = std::chrono::milliseconds(400);
    /// A watched entry that is silent for longer is taken for lost.
    duration suspicion_timeout = std::chrono::milliseconds(2'000);
    /// Up to this many entries everybody watches everybody.
    std::size_t full_mesh_limit = 16;
    /// Beyond that each entry is watched by this many others; see watch_ring.
    std::size_t watchers_per_entry = 3;
    /// How often one piece of news is sent on.
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

/// One run of an instance. The id alone names it: two runs never share one, even when they start
/// at the same moment. The start time only tells which of two runs of an instance is the later.
struct member_run
{
    incarnation_id incarnation;
    std::uint64_t started_ms = 0; ///< Wall clock, milliseconds since 1970.
};

/// A new run of this process, begun now.
member_run make_member_run(random_source& random);

/// The state as logs and operators see it, such as "serving".
char const* name_of(wire::member_state state);

/// One entry with what is known of its present run.
struct member_view
{
    listed_member listed;
    incarnation_id incarnation; ///< 0 while it has never been heard.
    std::uint64_t started_ms = 0;
    epoch_number epoch;
    wire::member_state state = wire::member_state::lost;
    configuration_version configuration;
    time_point last_heard;

    /// True when look-ups may name it: it runs, doesn't stop, and has a configuration.
    bool is_serving() const
    {
        return state == wire::member_state::serving && !listed.leaving && incarnation.get() != 0 &&
               configuration.get() != 0;
    }
    /// True when a request with its ticket can still be passed on to it.
    bool is_reachable() const
    {
        return state != wire::member_state::lost && incarnation.get() != 0;
    }
};

/// Keeps the records, answers who is alive, and makes and takes heartbeats.
class member_directory
{
public:
    member_directory(membership_options options, instance_name self, member_run run,
                     time_point now);

    /// Takes a list from the platform, or from a peer during an outage.
    void apply_list(std::vector<listed_member> const& members, time_point now);
    /// True when datagrams from this address may be read.
    bool is_listed_peer(address const& from) const;
    /// True when an instance with this IP is listed.
    bool is_listed_ip(std::uint32_t ip) const;
    /// Takes a heartbeat. The caller has checked the sender's address.
    void handle_heartbeat(wire::heartbeat const& beat, time_point now);

    /// State of this entry itself, for the heartbeats that follow.
    void set_own_state(wire::member_state state, epoch_number epoch,
                       configuration_version configuration);
    /// Marks silent entries as lost. Call it once each heartbeat interval.
    void mark_silent_as_lost(time_point now);
    /// The heartbeat to send now, and to whom.
    wire::heartbeat make_heartbeat();
    std::vector<address> heartbeat_targets() const;

    /// Grows with each change that look-ups or operators see: a member, its run, epoch, state or
    /// configuration. Heartbeats that say nothing new leave it alone.
    std::uint64_t change_count() const { return change_count_; }
    /// All entries, this one too.
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
    std::set<address> peer_addresses_; ///< Of the others.
    std::uint64_t change_count_ = 1;
    std::vector<pending_update> pending_updates_;
    std::vector<instance_name> watchers_; ///< Those that watch this entry.
    std::vector<instance_name> watched_;  ///< Those that this entry watches.
};

} // namespace burdockstep
