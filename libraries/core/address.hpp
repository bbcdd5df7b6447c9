/// IPv4 socket addresses.
#pragma once

#include "libraries/core/error.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

struct sockaddr;
struct sockaddr_in;

namespace burdockstep {

/// An IPv4 address and a TCP or UDP port.
struct address
{
    std::uint32_t ip = 0; ///< In host byte order.
    std::uint16_t port = 0;

    friend auto operator<=>(address const&, address const&) = default;

    /// The address and port as text, such as "127.0.0.1:8080".
    std::string text() const;
    /// The address without the port, such as "127.0.0.1".
    std::string ip_text() const;
    /// Converts to the socket API's representation.
    sockaddr_in to_sockaddr() const;
    /// Converts from the socket API's representation. Families other than IPv4 give 0.0.0.0:0.
    static address from_sockaddr(sockaddr const& socket_address);

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ip, port);
    }
};

/// Parses "IP:PORT". Fails with `invalid_input`.
result<address> parse_address(std::string_view text);

} // namespace burdockstep
