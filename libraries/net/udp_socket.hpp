/// A bound UDP socket.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/error.hpp"
#include "libraries/net/event_loop.hpp"

#include <functional>
#include <string_view>

namespace burdockstep {

/// Sends and receives datagrams. A datagram that can't be sent immediately is dropped.
class udp_socket
{
public:
    using datagram_handler = std::function<void(address const& from, std::string_view bytes)>;

    explicit udp_socket(event_loop& loop);
    ~udp_socket();
    udp_socket(udp_socket const&) = delete;
    udp_socket& operator=(udp_socket const&) = delete;

    /// Binds the socket and starts receiving. Fails with `invalid_input` if the address can't be
    /// bound.
    result<address> try_bind(address const& at, datagram_handler handler);
    /// Sends one datagram; drops it if the socket can't send it immediately.
    void send(address const& to, std::string_view bytes);

private:
    static constexpr std::size_t max_datagram_bytes = 65'536;

    struct state
    {
        uv_udp_t handle{};
        datagram_handler handler;
        char buffer[max_datagram_bytes];
    };

    state* state_; ///< Freed in the close callback of its libuv handle.
};

} // namespace burdockstep
