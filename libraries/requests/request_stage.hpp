/// The stages of a request as types, so that a dispatched request cannot be reported as not run
/// without evidence.
#pragma once

#include "libraries/requests/outcome.hpp"

#include <utility>
#include <variant>

namespace burdockstep {

/// Outcome of a request that no upstream ran. Only the stages below can construct one.
class not_run_outcome
{
public:
    refusal_reason reason() const { return reason_; }

private:
    friend class waiting_request;
    friend class dispatched_request;
    explicit not_run_outcome(refusal_reason reason) : reason_(reason) {}

    refusal_reason reason_;
};

/// Outcome of a request that may have run.
class unknown_outcome
{
public:
    refusal_reason reason() const { return reason_; }

private:
    friend class waiting_request;
    explicit unknown_outcome(refusal_reason reason) : reason_(reason) {}

    refusal_reason reason_;
};

/// Evidence that the receiver did not run a dispatched request. Create one only when the receiver
/// itself reports this, or when no byte can have been sent: no connection existed, or the send
/// wasn't begun.
class not_run_evidence
{
public:
    /// The upstream or peer entry answered that it did not run the request.
    static not_run_evidence from_refusal() { return not_run_evidence(refusal_reason::shed); }
    /// The connection was never established.
    static not_run_evidence from_failed_connect()
    {
        return not_run_evidence(refusal_reason::not_connected);
    }
    /// The send was given up before a byte was handed to a connection.
    static not_run_evidence from_send_not_begun()
    {
        return not_run_evidence(refusal_reason::not_connected);
    }

    refusal_reason reason() const { return reason_; }

private:
    explicit not_run_evidence(refusal_reason reason) : reason_(reason) {}

    refusal_reason reason_;
};

/// Outcome of a refused request: not run, or unknown when an earlier send of it may have run.
using refusal_outcome = std::variant<not_run_outcome, unknown_outcome>;

class dispatched_request;

/// A request that waits to be sent, for the first time or again.
class waiting_request
{
public:
    /// Creates the stage of a request that has just arrived; no byte of it has been sent yet.
    static waiting_request accept() { return waiting_request(false); }
    waiting_request(waiting_request&&) = default;
    waiting_request& operator=(waiting_request&&) = default;
    waiting_request(waiting_request const&) = delete;
    waiting_request& operator=(waiting_request const&) = delete;

    /// Ends the request without sending it again.
    refusal_outcome refuse(refusal_reason reason) &&
    {
        if (earlier_send_may_have_run_)
            return unknown_outcome(reason);
        return not_run_outcome(reason);
    }
    /// Moves the request to the dispatched stage. Call this before sending the first byte.
    dispatched_request dispatch() &&;

private:
    friend class dispatched_request;
    explicit waiting_request(bool earlier_send_may_have_run)
        : earlier_send_may_have_run_(earlier_send_may_have_run)
    {}

    bool earlier_send_may_have_run_;
};

/// A request that has been sent, so that its bytes may have reached an upstream.
class dispatched_request
{
public:
    dispatched_request(dispatched_request&&) = default;
    dispatched_request& operator=(dispatched_request&&) = default;
    dispatched_request(dispatched_request const&) = delete;
    dispatched_request& operator=(dispatched_request const&) = delete;

    /// Ends the request, given evidence that the receiver did not run this send.
    refusal_outcome refuse(not_run_evidence const& evidence) &&
    {
        return waiting_request(earlier_send_may_have_run_).refuse(evidence.reason());
    }
    /// Makes the request wait again, given evidence that the receiver did not run this send.
    waiting_request return_to_waiting(not_run_evidence const& /*evidence*/) &&
    {
        return waiting_request(earlier_send_may_have_run_);
    }
    /// Makes the request wait again although this send may have run. For idempotent requests only.
    waiting_request return_to_waiting_without_evidence() && { return waiting_request(true); }

private:
    friend class waiting_request;
    explicit dispatched_request(bool earlier_send_may_have_run)
        : earlier_send_may_have_run_(earlier_send_may_have_run)
    {}

    bool earlier_send_may_have_run_; ///< In a send before the current one.
};

inline dispatched_request waiting_request::dispatch() &&
{
    return dispatched_request(earlier_send_may_have_run_);
}

} // namespace burdockstep
