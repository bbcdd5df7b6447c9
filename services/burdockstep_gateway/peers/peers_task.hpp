/// Exchanges heartbeats, slot counts and updates with the other entries.
#pragma once

#include "services/burdockstep_gateway/peers/datagram_counters.hpp"
#include "services/burdockstep_gateway/peers/peer_targets.hpp"
#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/membership/leaving_upstream_tracker.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/net/udp_socket.hpp"

namespace burdockstep::gateway {

/// Owns the UDP socket for peers and the directory of entries.
class peers_task final : public task
{
public:
    explicit peers_task(gateway_context& context);

    std::string_view name() const override { return "peers"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;
    void write_metrics(std::string& out) const override;

private:
    /// Sends a message to entries at any distance. A message that can't be encoded is dropped and
    /// logged: it must not end the process.
    void send(wire::message const& message, std::vector<address> const& targets);
    void send_to_all(wire::message const& message);
    std::vector<address> const& targets_of(report_audience audience) const;
    void on_datagram(address const& from, std::string_view bytes);
    void process_heartbeat(wire::heartbeat const& heartbeat_message, address const& sender);
    void process_records(wire::member_records const& records);
    /// Takes over the capacities of entries whose records this peer has read.
    void process_capacities(wire::entry_capacities_message const& told);
    void send_heartbeats();
    /// Asks the entries that may be lost, or may have returned, for a heartbeat.
    void send_probes(time_point now);
    void merge_entry_records(entry_records_received const& received_records);
    /// Tells the other tasks of changed entries, at most once in `min_publish_interval`: when many
    /// entries start together, each of them would otherwise copy all entries for each change.
    void publish_members();
    void publish_members_now();
    void log_state_changes(std::vector<member_view> const& members);

    gateway_context& context_;
    logger log_{"peers"};
    member_directory directory_;
    udp_socket socket_;
    timer heartbeat_timer_;
    leaving_upstream_tracker leaving_upstreams_;
    peer_targets targets_;
    datagram_counters datagrams_;
    std::map<instance_name, wire::member_state> logged_states_;
    wire::member_state own_state_ = wire::member_state::serving;
    configuration_version configuration_version_;
    store_position directives_position_;
    timer publish_timer_;
    bool publication_scheduled_ = false;
    time_point last_published_at_;
    std::uint64_t published_changes_ = 0;
    std::uint64_t dropped_datagrams_ = 0;
};

} // namespace burdockstep::gateway
