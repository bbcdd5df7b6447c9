/// Events that the daemon's tasks exchange.
#pragma once

#include "libraries/configuration_sync/configuration_follower.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace burdockstep {

/// The directory of entries has changed, or is published again to refresh the times in it.
struct members_changed
{
    std::vector<member_view> members;
};

/// The platform's list of instances has been read from the platform, or a copy from a peer.
struct instance_list_received
{
    std::vector<listed_member> entries;
};

/// A peer's heartbeat named the version and digest of the configuration in force there.
struct peer_configuration_head_received
{
    wire::configuration_head head;
    address peer;
};

/// A peer sent the configuration document that is in force there.
struct peer_configuration_received
{
    wire::configuration_head head;
    std::string text;
};

/// Requests the configuration document from this peer.
struct peer_configuration_requested
{
    address peer;
};

/// A configuration has come into force on this instance.
struct configuration_applied
{
    std::shared_ptr<configuration_in_force const> configuration;
};

/// Where a report that an upstream is leaving came from.
enum class leaving_report_source
{
    instance_list_snapshot,
    upstream_answer,
    peer
};

/// An upstream was reported as leaving: it accepts no new requests.
struct upstream_leaving
{
    upstream_name name;
    time_point observed_at;
    leaving_report_source reported_by = leaving_report_source::instance_list_snapshot;
};

/// A peer's report on the load of one of its pools has arrived.
struct pool_report_received
{
    wire::pool_report report;
};

/// A report on the load of an own pool is ready to be sent to peers.
struct pool_report_ready
{
    wire::pool_report report;
    std::vector<address> receivers;
};

/// A new epoch of tickets has begun on this entry.
struct ticket_epoch_opened
{
    epoch_number epoch;
};

/// The platform has become reachable or unreachable.
struct platform_reachability_changed
{
    bool reachable = false;
};

/// A planned stop begins: new look-ups no longer include this entry.
struct stop_begun
{};

/// During a stop: all look-up answers that include this entry have expired, so callers'
/// connections may be closed after their current answers.
struct cached_lookups_expired
{};

using event =
    std::variant<members_changed, instance_list_received, peer_configuration_head_received,
                 peer_configuration_received, peer_configuration_requested, configuration_applied,
                 upstream_leaving, pool_report_received, pool_report_ready, ticket_epoch_opened,
                 platform_reachability_changed, stop_begun, cached_lookups_expired>;

} // namespace burdockstep
