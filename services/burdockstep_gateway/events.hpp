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
struct routing_adopted
{
    std::shared_ptr<routing_document const> document;
};

/// The usable upstreams have changed.
struct upstreams_changed
{
    std::shared_ptr<std::map<upstream_name, known_upstream> const> upstreams;
};

/// The registry has been heard anew: nothing that is known of upstreams is older.
struct registry_heard
{};

/// The store has told which entries there are.
struct entries_read
{
    std::vector<listed_member> entries;
    bool whole = false; ///< Entries that aren't named don't exist.
};

/// The directory of live entries has changed.
struct members_changed
{
    std::vector<member_view> members;
};

/// Directives of this version of the store are in force here.
struct directives_seen
{
    std::uint64_t version = 0;
};

/// A peer has seen directives of this version.
struct peer_directives_heard
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
struct upstream_cold
{
    upstream_name name;
    duration left{};
};

/// Counts of this entry to tell the others.
struct slot_report_made
{
    wire::slot_report report;
    bool to_own_region = true; ///< Else to the entries of the other regions.
};

/// Counts of another entry.
struct slot_report_heard
{
    wire::slot_report report;
};

/// This entry has read the registry for the others.
struct registry_news_made
{
    wire::registry_update_message news;
};

/// Another entry has read the registry.
struct registry_news_heard
{
    wire::registry_update_message news;
};

/// This entry has read the list of entries for the others.
struct entries_news_made
{
    wire::entries_update_message news;
};

/// Another entry has read the list of entries.
struct entries_news_heard
{
    wire::entries_update_message news;
};

/// The store has answered, or hasn't for a while.
struct store_reachability
{
    bool reachable = false;
};

/// The process stood still for this long.
struct process_resumed
{
    duration stood_still{};
};

/// A planned stop begins: no look-up names this entry.
struct stop_begun
{};

/// Callers have had the time to look up anew: what arrives now is refused.
struct callers_moved_on
{};

/// The process is about to end.
struct ending
{};

using event =
    std::variant<routing_adopted, upstreams_changed, registry_heard, entries_read, members_changed,
                 directives_seen, peer_directives_heard, upstream_leaving, upstream_cold,
                 slot_report_made, slot_report_heard, registry_news_made, registry_news_heard,
                 entries_news_made, entries_news_heard, store_reachability, process_resumed,
                 stop_begun, callers_moved_on, ending>;

/// Posts an event to all tasks.
using event_sink = std::function<void(event)>;

} // namespace burdockstep::gateway
