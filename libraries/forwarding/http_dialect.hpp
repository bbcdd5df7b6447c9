/// Interface to the HTTP headers and paths that callers and upstreams use.
#pragma once

#include "libraries/forwarding/forwarding_messages.hpp"
#include "libraries/http1/client.hpp"
#include "libraries/http1/server.hpp"

#include <optional>
#include <string>
#include <vector>

namespace burdockstep {

/// A caller's query for the entries that it can use for a host.
struct lookup_query
{
    std::string host;
    region_name region;
    place_name place;
};

/// Reads and writes the parts of HTTP messages that matter for forwarding. Header names are lower
/// case.
class http_dialect
{
public:
    virtual ~http_dialect() = default;

    /// Parses a caller's request. Leaves the request's `id` for the calling code to set.
    virtual request_arrival read_request(http1::message_head const& head) const = 0;
    /// Headers with which the request is sent to the `expected` upstream. If `caller` is given, the
    /// caller's key is removed and only the team given there is stated.
    virtual http_headers upstream_headers(http1::message_head const& request,
                                          upstream_name const& expected, duration time_left,
                                          std::optional<caller_identity> const& caller) const = 0;
    /// The header, with its value, that an upstream's answer to this request carries.
    virtual http_header answer_id(http1::message_head const& request) const = 0;
    /// Parses the head of an upstream's complete answer.
    virtual send_end_report read_answer(http1::message_head const& head) const = 0;
    /// What an upstream says of itself in the head of an answer; empty if another instance
    /// answered.
    virtual upstream_notice read_notice(http1::message_head const& head) const = 0;
    /// Headers with which an upstream's answer is delivered to the caller.
    virtual http_headers caller_headers(http1::message_head const& answer) const = 0;
    /// An answer that this entry gives itself, without an upstream.
    virtual http1::server_answer gateway_answer(http1::message_head const& request, int status,
                                                std::optional<duration> retry_after) const = 0;
    /// Parses an upstream's answer to a health probe.
    virtual probe_report read_health(http1::message_head const& head,
                                     upstream_name const& expected) const = 0;

    /// True if the request is the platform's readiness probe of this entry.
    virtual bool is_readiness_probe(http1::message_head const& request) const = 0;
    virtual std::optional<lookup_query> read_lookup(http1::message_head const& request) const = 0;
    virtual http1::server_answer lookup_answer(std::vector<address> const& entries,
                                               duration lifetime) const = 0;
};

} // namespace burdockstep
