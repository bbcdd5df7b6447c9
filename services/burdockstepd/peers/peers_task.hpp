/// Exchanges heartbeats, pool reports, instance lists and configurations with other daemons.
#pragma once

#include "services/burdockstepd/daemon_context.hpp"

#include "libraries/core/log.hpp"
#include "libraries/membership/leaving_upstream_tracker.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/net/framed_stream.hpp"
#include "libraries/net/udp_socket.hpp"

#include <memory>

namespace burdockstep {

/// Owns the UDP and TCP sockets for peers, and the directory of entries.
class peers_task final : public task
{
public:
    explicit peers_task(daemon_context& context);

    std::string_view name() const override { return "peers"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;

private:
    result<void> try_bind();
    void on_datagram(address const& sender, std::string_view bytes);
    void process_heartbeat(wire::heartbeat const& heartbeat_message, address const& sender);
    void send(wire::message const& message, std::vector<address> const& targets);
    void send_heartbeats();
    /// Asks the entries that may be lost, or may have returned, for a heartbeat.
    void send_probes(time_point now);
    wire::configuration_head own_head() const;
    void request_state(address const& peer);
    void process_encoded_answer(std::string_view bytes);
    void process_state_answer(wire::state_answer const& answer);
    std::optional<std::string> answer_state_request(address const& sender,
                                                    std::string_view encoded_request);
    void request_state_from_next_seed();
    void publish_members();
    bool is_seed_address(address const& sender) const;

    daemon_context& context_;
    logger log_{"peers"};
    member_directory directory_;
    std::unique_ptr<udp_socket> peer_socket_;
    std::unique_ptr<framed_server> state_request_server_;
    framed_client state_request_client_;
    timer heartbeat_timer_;
    timer seed_request_timer_;
    std::shared_ptr<configuration_in_force const> configuration_;
    leaving_upstream_tracker leaving_upstreams_;
    wire::member_state own_state_ = wire::member_state::serving;
    epoch_number ticket_epoch_{1};
    std::uint64_t last_published_change_ = 0;
    time_point last_published_at_;
    std::size_t next_seed_index_ = 0;
    std::uint64_t dropped_datagrams_ = 0;
    bool has_instance_list_ = false;
};

} // namespace burdockstep
