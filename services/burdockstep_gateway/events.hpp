/// Events that the gateway's tasks exchange.
#pragma once

#include "libraries/core/store_position.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/membership/entry_list.hpp"
#include "libraries/membership/leaving_upstream_tracker.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/routing/routing_document.hpp"
#include "libraries/wire/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace burdockstep::gateway {

/// This instance now routes requests by this document.
struct routing_document_applied
{
    std::shared_ptr<routing_document const> document;
};

/// The upstreams known from the registry, or their states, have changed.
struct upstreams_changed
{
    std::shared_ptr<std::map<upstream_name, known_upstream> const> upstreams;
};

/// The store has answered a read of the registry, so the known state of upstreams is current.
struct registry_refreshed
{};

/// Records of entries: this entry's own, or those read from the store or received from another
/// entry.
struct entry_records_received
{
    std::vector<listed_member> entries;
    entry_list_kind kind = entry_list_kind::changes;
};

/// The set of known entries, or the state of one of them, has changed.
struct members_changed
{
    std::vector<member_view> members;
};

/// This entry has applied the operators' directives up to this position of the store.
struct directives_applied
{
    store_position position;
};

/// A peer's heartbeat names the position of the directives that the peer has applied.
struct peer_directives_position_received
{
    store_position position;
};

/// The store has returned from an older copy, as one of its answers or a peer says.
struct store_history_replaced
{
    store_era era;
};

/// An incarnation of an upstream is leaving: its answer to this entry said so, or a peer reported
/// it.
struct upstream_leaving
{
    leaving_report report;
    bool from_peer = false;
};

/// An upstream's answer to a health probe gave the remaining time of its cold start.
struct upstream_cold_start_reported
{
    upstream_name name;
    duration cold_time_left{};
};

/// The entries that a report of slot counts goes to.
enum class report_audience
{
    own_place,
    own_region,
    other_places_of_region, ///< The own region's entries that aren't in the own place.
    other_regions
};

/// This entry's slot counts, ready to be sent to other entries.
struct slot_report_ready
{
    wire::slot_report report;
    report_audience audience = report_audience::own_region;
};

/// Slot counts of this entry's whole place, ready to be sent to entries of other places.
struct place_report_ready
{
    wire::place_slot_report report;
    report_audience audience = report_audience::other_places_of_region;
};

/// Slot counts of another place that its relay has sent.
struct place_report_received
{
    wire::place_slot_report report;
};

/// Slot counts that another entry has sent.
struct slot_report_received
{
    wire::slot_report report;
};

/// Registry changes that this entry has read, ready to be sent to all entries.
struct registry_update_ready
{
    wire::registry_update_message update;
};

/// Registry changes that another entry has read and sent.
struct registry_update_received
{
    address from;
    wire::registry_update_message update;
};

/// Another entry asks what this one knows of some upstreams.
struct registry_question_received
{
    address from;
    wire::registry_question question;
};

/// Another entry has told what it knows of some upstreams.
struct registry_records_received
{
    wire::registry_records_message message;
};

/// A question about upstreams, or a part of the answer, ready to be sent to one entry.
struct registry_message_ready
{
    address to;
    wire::message message;
};

/// Changes of the list of entries that this entry has read, ready to be sent to all entries.
struct entries_update_ready
{
    wire::entries_update_message update;
};

/// Capacities of entries whose records have changed, ready to be sent to all entries.
struct entry_capacities_ready
{
    wire::entry_capacities_message capacities;
};

/// Changes of the list of entries that another entry has read and sent.
struct entries_update_received
{
    wire::entries_update_message update;
};

/// The applied directives, and with them the keys of callers, were the newest ones at this time.
struct directives_confirmed
{
    time_point fresh_as_of;
};

/// A request was refused because what this entry knows of keys is too old.
struct key_confirmation_wanted
{};

/// A question for, or the proof of, how new directives are, ready to be sent to one entry.
struct confirmation_message_ready
{
    address to;
    wire::message message;
};

/// Another entry asks how new the directives are that this entry applies.
struct directives_question_received
{
    address from;
    wire::directives_question question;
};

/// Another entry has answered this entry's question.
struct directives_proof_received
{
    wire::directives_proof proof;
};

/// Questions about the quotas of teams, or the answers.
using quota_message = std::variant<wire::quota_questions, wire::quota_grants>;

/// A message about quotas, ready to be sent to another entry.
struct quota_message_ready
{
    address to;
    quota_message message;
};

/// A message about quotas that another entry has sent.
struct quota_message_received
{
    address from;
    quota_message message;
};

/// The store has become reachable or unreachable.
struct store_reachability_changed
{
    bool reachable = false;
};

/// The process runs again after it was suspended or starved for `stall_duration`.
struct process_resumed
{
    duration stall_duration{};
};

/// A planned stop has begun: look-ups must no longer return this entry.
struct stop_begun
{
    time_point process_end; ///< When requests that are still under way are ended.
};

/// Callers have had time to repeat their look-up during a planned stop: new requests are refused
/// from now on.
struct caller_grace_period_ended
{};

/// The process exits within milliseconds: a planned stop is complete or has reached its limit, or a
/// task has failed.
struct process_ending
{};

using event = std::variant<
    routing_document_applied, upstreams_changed, registry_refreshed, entry_records_received,
    members_changed, directives_applied, peer_directives_position_received, store_history_replaced,
    upstream_leaving, upstream_cold_start_reported, slot_report_ready, slot_report_received,
    registry_update_ready, registry_update_received, entries_update_ready, entries_update_received,
    store_reachability_changed, process_resumed, stop_begun, caller_grace_period_ended,
    process_ending, directives_confirmed, key_confirmation_wanted, confirmation_message_ready,
    directives_question_received, directives_proof_received, entry_capacities_ready,
    place_report_ready, place_report_received, quota_message_ready, quota_message_received,
    registry_question_received, registry_records_received, registry_message_ready>;

/// Queues an event for delivery to all tasks.
using event_sink = std::function<void(event)>;

} // namespace burdockstep::gateway
