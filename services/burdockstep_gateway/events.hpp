/// Typed messages between the gateway's tasks.
#pragma once

#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/routing/routing_document.hpp"
#include "libraries/wire/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace burdockstep::gateway {

/// A routing document is in force on this instance.
struct routing_document_applied
{
    std::shared_ptr<routing_document const> document;
};

/// The usable upstreams have changed.
struct upstreams_changed
{
    std::shared_ptr<std::map<upstream_name, known_upstream> const> upstreams;
};

/// The registry has been heard anew: nothing that is known of upstreams is older.
struct registry_refreshed
{};

/// The store has told which entries there are.
struct entry_records_received
{
    std::vector<listed_member> entries;
    bool is_full_list = false; ///< Entries that aren't named don't exist.
};

/// The directory of live entries has changed.
struct members_changed
{
    std::vector<member_view> members;
};

/// Directives of this version of the store are in force here.
struct directives_applied
{
    std::uint64_t version = 0;
};

/// A peer has seen directives of this version.
struct peer_directives_version_received
{
    std::uint64_t version = 0;
};

/// An upstream has been seen to leave, by its own answer or a peer's word.
struct upstream_leaving
{
    upstream_name name;
    bool from_peer = false;
};

/// A health answer told for how long an upstream is cold.
struct upstream_cold_start_reported
{
    upstream_name name;
    duration cold_time_left{};
};

/// Counts of this entry to tell the others.
struct slot_report_ready
{
    wire::slot_report report;
    bool to_own_region = true; ///< Else to the entries of the other regions.
};

/// Counts of another entry.
struct slot_report_received
{
    wire::slot_report report;
};

/// This entry has read the registry for the others.
struct registry_update_ready
{
    wire::registry_update_message update;
};

/// Another entry has read the registry.
struct registry_update_received
{
    wire::registry_update_message update;
};

/// This entry has read the list of entries for the others.
struct entries_update_ready
{
    wire::entries_update_message update;
};

/// Another entry has read the list of entries.
struct entries_update_received
{
    wire::entries_update_message update;
};

/// The store has answered, or hasn't for a while.
struct store_reachability_changed
{
    bool reachable = false;
};

/// The process stood still for this long.
struct process_resumed
{
    duration stall_duration{};
};

/// A planned stop begins: no look-up names this entry.
struct stop_begun
{};

/// Callers have had the time to look up anew: what arrives now is refused.
struct caller_grace_period_ended
{};

/// The process is about to end.
struct process_ending
{};

using event = std::variant<routing_document_applied, upstreams_changed, registry_refreshed,
                           entry_records_received, members_changed, directives_applied,
                           peer_directives_version_received, upstream_leaving,
                           upstream_cold_start_reported, slot_report_ready, slot_report_received,
                           registry_update_ready, registry_update_received, entries_update_ready,
                           entries_update_received, store_reachability_changed, process_resumed,
                           stop_begun, caller_grace_period_ended, process_ending>;

/// Posts an event to all tasks.
using event_sink = std::function<void(event)>;

} // namespace burdockstep::gateway
