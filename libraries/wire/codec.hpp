/// Bytes of messages: a version byte, a type byte, then the fields by cereal.
#pragma once

#include "libraries/core/error.hpp"
#include "libraries/wire/messages.hpp"

#include <string>
#include <string_view>

namespace burdockstep::wire {

/// Version that this program writes and reads.
constexpr std::uint8_t wire_version = 1;
/// Largest datagram, so that none is fragmented on usual links.
constexpr std::size_t max_datagram_bytes = 1'400;
/// Largest message over TCP.
constexpr std::size_t max_stream_message_bytes = std::size_t{6} * 1024 * 1024;

/// Encodes a message. A field over its limit is a fault of the caller and throws.
std::string encode(message const& value);

/// Decodes a message. Fails with `malformed` on another version, an unknown type, a field over
/// its limit, too few bytes, or bytes left over.
result<message> decode(std::string_view bytes);

} // namespace burdockstep::wire
