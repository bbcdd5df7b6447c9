/// Counts the datagrams exchanged with other entries, by kind of message and distance.
#pragma once

#include "services/burdockstep_gateway/peers/peer_targets.hpp"

#include "libraries/wire/messages.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <variant>

namespace burdockstep::gateway {

/// Datagrams and bytes, without the headers of the network, since the start.
class datagram_counters
{
public:
    void count_sent(wire::message const& message, peer_distance distance, std::size_t bytes)
    {
        sent_.at(message.index()).at(static_cast<std::size_t>(distance)).add(bytes);
    }
    void count_received(wire::message const& message, peer_distance distance, std::size_t bytes)
    {
        received_.at(message.index()).at(static_cast<std::size_t>(distance)).add(bytes);
    }

    /// Appends the counters that aren't zero as metrics.
    void write_metrics(std::string& out) const;

private:
    struct counter
    {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;

        void add(std::size_t datagram_bytes)
        {
            ++datagrams;
            bytes += datagram_bytes;
        }
    };
    using table =
        std::array<std::array<counter, peer_distance_count>, std::variant_size_v<wire::message>>;

    static void write_table(char const* direction, table const& counters, std::string& out);

    table sent_{};
    table received_{};
};

} // namespace burdockstep::gateway
