/// Typed messages between the daemon's tasks.
#pragma once

#include "libraries/configuration_sync/configuration_follower.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace burdockstep {

/// The directory of entries has changed.
struct members_changed
{
    std::vector<member_view> members;
};

/// The platform's list, or a peer's copy of it, has been read.
struct instance_list_received
{
    std::vector<listed_member> entries;
};

/// A heartbeat told of a configuration.
struct peer_configuration_head_received
{
    wire::configuration_head head;
    address peer;
};

/// A peer sent its document.
struct peer_configuration_received
{
    wire::configuration_head head;
    std::string text;
};

/// Ask this peer for its document.
struct peer_configuration_requested
{
    address peer;
};

/// A configuration is in force on this instance.
struct configuration_applied
{
    std::shared_ptr<configuration_in_force const> configuration;
};

/// Whoever noticed that an upstream leaves.
enum class leaving_report_source
{
    instance_list_snapshot,
    upstream_answer,
    peer
};

/// An upstream has been seen to leave.
struct upstream_leaving
{
    upstream_name name;
    time_point observed_at;
    leaving_report_source reported_by = leaving_report_source::instance_list_snapshot;
};

/// A pool report from a peer.
struct pool_report_received
{
    wire::pool_report report;
};

/// A pool report for peers.
struct pool_report_ready
{
    wire::pool_report report;
    std::vector<address> receivers;
};

/// The ledger has opened another epoch.
struct ticket_epoch_opened
{
    epoch_number epoch;
};

/// The platform has answered, or hasn't for a while.
struct platform_reachability_changed
{
    bool reachable = false;
};

/// A planned stop begins: no new look-up names this entry.
struct stop_begun
{};

/// Look-ups that name this entry have run out: connections may close after their answers.
struct cached_lookups_expired
{};

using event =
    std::variant<members_changed, instance_list_received, peer_configuration_head_received,
                 peer_configuration_received, peer_configuration_requested, configuration_applied,
                 upstream_leaving, pool_report_received, pool_report_ready, ticket_epoch_opened,
                 platform_reachability_changed, stop_begun, cached_lookups_expired>;

} // namespace burdockstep
