/// The stages of a request as types, so that "not run" can't be said after dispatch.
#pragma once

#include "libraries/requests/outcome.hpp"

#include <utility>
#include <variant>

namespace burdockstep {

/// The end of a request that no upstream ran. Only the stages below make one.
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

/// The end of a request that may have run.
class unknown_outcome
{
public:
    refusal_reason reason() const { return reason_; }

private:
    friend class waiting_request;
    explicit unknown_outcome(refusal_reason reason) : reason_(reason) {}

    refusal_reason reason_;
};

/// Proof that the other side didn't run a dispatched request. The transport makes one only from
/// the other side's own statement, or when no connection existed to send a byte on.
class not_run_evidence
{
public:
    /// The upstream or peer entry answered that it didn't run the request.
    static not_run_evidence from_refusal() { return not_run_evidence(refusal_reason::shed); }
    /// The connection was never established.
    static not_run_evidence from_failed_connect()
    {
        return not_run_evidence(refusal_reason::not_connected);
    }

    refusal_reason reason() const { return reason_; }

private:
    explicit not_run_evidence(refusal_reason reason) : reason_(reason) {}

    refusal_reason reason_;
};

/// How a refusal ends a request: as not run, or as unknown when an earlier send of it may have run.
using refusal_outcome = std::variant<not_run_outcome, unknown_outcome>;

class dispatched_request;

/// A request that waits to be sent: for the first time, or again after a send that may have run.
class waiting_request
{
public:
    /// A request that has just arrived, of which no byte has been handed to an upstream.
    static waiting_request accept() { return waiting_request(false); }
    waiting_request(waiting_request&&) = default;
    waiting_request& operator=(waiting_request&&) = default;
    waiting_request(waiting_request const&) = delete;
    waiting_request& operator=(waiting_request const&) = delete;

    /// Ends the request without a further send.
    refusal_outcome refuse(refusal_reason reason) &&
    {
        if (earlier_send_may_have_run_)
            return unknown_outcome(reason);
        return not_run_outcome(reason);
    }
    /// Passes the point of dispatch. Call it before the first byte leaves.
    dispatched_request dispatch() &&;

private:
    friend class dispatched_request;
    explicit waiting_request(bool earlier_send_may_have_run)
        : earlier_send_may_have_run_(earlier_send_may_have_run)
    {}

    bool earlier_send_may_have_run_;
};

/// A request of which bytes may have reached an upstream.
class dispatched_request
{
public:
    dispatched_request(dispatched_request&&) = default;
    dispatched_request& operator=(dispatched_request&&) = default;
    dispatched_request(dispatched_request const&) = delete;
    dispatched_request& operator=(dispatched_request const&) = delete;

    /// Ends the request on proof that this send wasn't run.
    refusal_outcome refuse(not_run_evidence const& evidence) &&
    {
        return waiting_request(earlier_send_may_have_run_).refuse(evidence.reason());
    }
    /// Goes back to waiting, on proof that this send wasn't run.
    waiting_request return_to_waiting(not_run_evidence const& /*evidence*/) &&
    {
        return waiting_request(earlier_send_may_have_run_);
    }
    /// Goes back to waiting without proof. Only for idempotent requests.
    waiting_request return_to_waiting_without_evidence() && { return waiting_request(true); }

private:
    friend class waiting_request;
    explicit dispatched_request(bool earlier_send_may_have_run)
        : earlier_send_may_have_run_(earlier_send_may_have_run)
    {}

    bool earlier_send_may_have_run_; ///< In an earlier send.
};

inline dispatched_request waiting_request::dispatch() &&
{
    return dispatched_request(earlier_send_may_have_run_);
}

} // namespace burdockstep
