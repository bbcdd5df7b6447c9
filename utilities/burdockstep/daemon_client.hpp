/// Asks daemons over HTTP, one address after the other until one answers.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/net/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace burdockstep {

/// Blocks until an answer is there. For the command line only.
class daemon_client
{
public:
    explicit daemon_client(std::vector<address> daemon_addresses);

    /// The first whole answer, or nothing when no daemon could be reached. A request that may have
    /// reached a daemon is sent to another one only when `idempotent`.
    std::optional<http_client::whole_answer> send(call_options options, bool idempotent);
    /// True when the last `send` ended without an answer although a daemon may have acted on it.
    bool is_outcome_unknown() const { return outcome_unknown_; }
    /// The daemon that gave the last answer.
    address const& last_asked_daemon() const { return last_asked_daemon_; }

private:
    event_loop loop_;
    http_client client_;
    std::vector<address> daemon_addresses_;
    address last_asked_daemon_;
    bool outcome_unknown_ = false;
};

} // namespace burdockstep
