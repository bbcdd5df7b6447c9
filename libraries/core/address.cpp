#include "libraries/core/address.hpp"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace burdockstep {

std::string address::ip_text() const
{
    return fmt::format("{}.{}.{}.{}", ip >> 24U, (ip >> 16U) & 0xffU, (ip >> 8U) & 0xffU,
                       ip & 0xffU);
}

std::string address::text() const
{
    return fmt::format("{}:{}", ip_text(), port);
}

sockaddr_in address::to_sockaddr() const
{
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(ip);
    socket_address.sin_port = htons(port);
    return socket_address;
}

address address::from_sockaddr(sockaddr const& socket_address)
{
    if (socket_address.sa_family != AF_INET)
        return {};
    auto const& inet = reinterpret_cast<sockaddr_in const&>(socket_address);
    return {.ip = ntohl(inet.sin_addr.s_addr), .port = ntohs(inet.sin_port)};
}

result<address> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    in_addr parsed{};
    std::uint16_t port = 0;
    bool valid = colon != std::string_view::npos;
    if (valid)
        valid = inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) == 1;
    if (valid) {
        char const* const end = text.data() + text.size();
        auto const [stop, code] = std::from_chars(text.data() + colon + 1, end, port);
        valid = code == std::errc{} && stop == end;
    }
    if (!valid) {
        return fail(
            error_kind::invalid_input,
            fmt::format("'{}' is not an address; write IP:PORT, such as 127.0.0.1:7001", text));
    }
    return address{.ip = ntohl(parsed.s_addr), .port = port};
}

} // namespace burdockstep
