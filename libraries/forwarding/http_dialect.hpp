/// Which headers and paths callers and upstreams use, as an abstract interface.
#pragma once

#include "libraries/forwarding/forwarding_messages.hpp"
#include "libraries/http1/client.hpp"
#include "libraries/http1/server.hpp"

#include <optional>
#include <string>
#include <vector>

namespace burdockstep {

/// What a caller asks of a look-up.
struct lookup_query
{
    std::string host;
    region_name region;
    place_name place;
};

/// Reads and writes the parts of HTTP messages that have a meaning for forwarding. Header names
/// are lower case.
class http_dialect
{
public:
    virtual ~http_dialect() = default;

    /// Reads a caller's request. The number of the request is left to the caller of this.
    virtual request_arrival read_request(http1::message_head const& head) const = 0;
    /// Headers of the request as it goes to an upstream.
    virtual http_headers upstream_headers(http1::message_head const& request,
                                          upstream_name const& expected,
                                          duration time_left) const = 0;
    /// The header by which an upstream's answer names its request.
    virtual http_header answer_id(http1::message_head const& request) const = 0;
    /// Reads a whole answer.
    virtual send_end_report read_answer(http1::message_head const& head) const = 0;
    /// Headers of an upstream's answer as it goes to the caller.
    virtual http_headers caller_headers(http1::message_head const& answer) const = 0;
    /// An answer from here.
    virtual http1::server_answer gateway_answer(http1::message_head const& request, int status,
                                                std::optional<duration> retry_after) const = 0;
    virtual probe_report read_health(http1::message_head const& head,
                                     upstream_name const& expected) const = 0;

    /// True for the platform's question whether this entry takes requests.
    virtual bool is_readiness_probe(http1::message_head const& request) const = 0;
    virtual std::optional<lookup_query> read_lookup(http1::message_head const& request) const = 0;
    virtual http1::server_answer lookup_answer(std::vector<address> const& entries,
                                               duration lifetime) const = 0;
};

} // namespace burdockstep
