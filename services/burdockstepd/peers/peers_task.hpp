/// Heartbeats, reports and documents between daemons.
#pragma once

#include "services/burdockstepd/daemon_context.hpp"

#include "libraries/core/log.hpp"
#include "libraries/membership/leaving_upstream_tracker.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/net/framed_stream.hpp"
#include "libraries/net/udp_socket.hpp"

#include <memory>

namespace burdockstep {

/// Owns the UDP and TCP sockets for peers and the member directory.
class peers_task final : public task
{
public:
    explicit peers_task(daemon_context& context);

    std::string_view name() const override { return "peers"; }
    result<void> try_start() override;
    void receive(event const& what) override;

private:
    result<void> try_bind();
    void on_datagram(address const& from, std::string_view bytes);
    void take(wire::heartbeat const& beat, address const& from);
    void send_heartbeats();
    void ask_for_state(address const& peer);
    void take_state(wire::state_answer const& answer);
    std::optional<std::string> answer_question(address const& from, std::string_view question);
    void ask_seeds();
    void publish_members();
    bool is_seed(address const& from) const;

    daemon_context& context_;
    logger log_{"peers"};
    member_directory directory_;
    std::unique_ptr<udp_socket> socket_;
    std::unique_ptr<framed_server> server_;
    timer heartbeat_timer_;
    timer seed_timer_;
    std::shared_ptr<configuration_in_force const> configuration_;
    leaving_upstream_tracker leaving_;
    wire::member_state own_state_ = wire::member_state::serving;
    epoch_number epoch_{1};
    std::uint64_t published_changes_ = 0;
    time_point published_at_;
    std::size_t next_seed_ = 0;
    std::uint64_t dropped_datagrams_ = 0;
    bool has_list_ = false;
};

} // namespace burdockstep
