/// HTTP client that sends a request to several daemons in turn until one answers.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/net/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace burdockstep {

/// Blocking client for the command-line tool.
class daemon_client
{
public:
    explicit daemon_client(std::vector<address> daemon_addresses);

    /// Returns the first complete answer, or nothing if no daemon gave one. After a connection is
    /// lost, only an `idempotent` request is sent to the next daemon: any other may have been
    /// executed, and `is_outcome_unknown` then returns true.
    std::optional<http_client::fetch_result> send(call_options options, bool idempotent);
    /// Whether the last `send` returned no answer although a daemon may have executed the request.
    bool is_outcome_unknown() const { return outcome_unknown_; }
    /// The daemon that the last `send` tried last, whether or not it answered.
    address const& last_asked_daemon() const { return last_asked_daemon_; }

private:
    event_loop loop_;
    http_client client_;
    std::vector<address> daemon_addresses_;
    address last_asked_daemon_;
    bool outcome_unknown_ = false;
};

} // namespace burdockstep
