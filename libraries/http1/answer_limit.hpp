/// Limits on the answers of upstreams and of other callees, whose bytes may go on without end.
#pragma once

#include <cstddef>

namespace burdockstep::http1 {

/// A limit on answers that a call has exceeded.
enum class answer_limit
{
    none,
    head,    ///< Of a head or a trailer: its bytes or its fields.
    framing, ///< Of what surrounds a body's bytes: sizes and extensions of chunks.
    body,    ///< Of the body's bytes.
    call,    ///< Of all bytes that answer one call.
    together ///< Of what is collected of several answers together.
};

constexpr std::size_t answer_limit_count = 6;

/// Name for logs and metrics.
char const* name_of(answer_limit limit);

} // namespace burdockstep::http1
