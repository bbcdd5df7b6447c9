/// Binary encoding of messages: a version byte, a type byte, then the fields in cereal's portable
/// binary format.
#pragma once

#include "libraries/core/error.hpp"
#include "libraries/wire/messages.hpp"

#include <string>
#include <string_view>

namespace burdockstep::wire {

/// The wire version that this program writes and the only one that it reads.
constexpr std::uint8_t wire_version = 5;
/// Size limit of a datagram, chosen so that none is fragmented on links with the usual MTU.
constexpr std::size_t max_datagram_bytes = 1'400;
/// Size limit of a message over TCP.
constexpr std::size_t max_stream_message_bytes = std::size_t{6} * 1024 * 1024;

/// Encodes a message. Throws when a field exceeds its limit, which is a bug in the calling code.
std::string encode(message const& value);
/// Encodes a message. Fails with `limit` when a field exceeds its limit.
result<std::string> try_encode(message const& value);

/// Decodes a message. Fails with `malformed` when the version differs, the type is unknown, a field
/// exceeds its limit, or there are too few or too many bytes.
result<message> decode(std::string_view bytes);

} // namespace burdockstep::wire
