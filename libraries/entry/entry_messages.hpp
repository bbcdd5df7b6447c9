/// Inputs of the entry engine and the commands that it returns.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/digest.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/requests/outcome.hpp"
#include "libraries/tickets/redeemed_ticket_table.hpp"

#include <memory>
#include <optional>
#include <variant>

namespace burdockstep {

/// How a request reached this entry.
enum class call_route
{
    direct,    ///< Sent by a caller.
    forwarded, ///< Sent by an entry that does not own the pool, or that the ticket does not name.
    spilled    ///< Moved here by the pool's owner in another region; it is not spilled again.
};

/// A completely received request.
struct call_arrival
{
    request_id id;
    service_name service;
    std::optional<ticket> presented; ///< Ticket that came with the request.
    digest request;                  ///< Digest of method, path and body.
    /// Time left until the caller's deadline; zero when the caller set none.
    duration deadline{};
    call_route route = call_route::direct;
    /// Region of the caller. Empty when unknown; the engine then assumes this entry's region.
    region_name home_region;
};

/// The kind of an answer, according to its head.
enum class answer_head_kind
{
    answer,  ///< An answer of the service.
    not_run, ///< The upstream or peer entry reports that it did not run the request.
    unknown  ///< A peer entry reports that the outcome is unknown.
};

/// How a send to an upstream or peer entry ended.
enum class send_end
{
    complete,      ///< The complete answer has arrived.
    not_connected, ///< No connection could be established.
    broken         ///< The connection closed or stalled before the answer was complete.
};

/// Send the request to an upstream. The engine has already marked the request as dispatched.
struct send_upstream
{
    request_id id;
    upstream_name upstream;
    address to;
    duration time_left{};
    /// Open a new connection instead of reusing a pooled one. Needed for non-idempotent requests,
    /// because a pooled connection may send them twice, and for retries, because all pooled
    /// connections may be stalled.
    bool fresh_connection = false;
};

/// Send the request to the address where another entry accepts callers.
struct send_peer
{
    request_id id;
    address to;
    std::optional<ticket> present; ///< Ticket to present to the peer.
    call_route route = call_route::forwarded;
    duration time_left{};
    bool fresh_connection = false; ///< Open a new connection instead of reusing a pooled one.
};

/// Cancel a send whose answer has not begun in time, and stop reusing the connections to that
/// address. The engine then retries the request.
struct abandon_send
{
    request_id id;
    address upstream_address;
};

/// Forward the answer head that has just arrived to the caller, then stream the body.
struct forward_answer
{
    request_id id;
};

/// Finish a forwarded answer as complete.
struct complete_answer
{
    request_id id;
};

/// Abort a forwarded answer, so that the caller detects that it is incomplete.
struct truncate_answer
{
    request_id id;
};

/// Reply with the retained answer to the original request of the ticket.
struct reply_retained_answer
{
    request_id id;
    std::shared_ptr<retained_answer const> answer;
};

/// Reply that the request was not run. `next` is a new ticket for the caller's next attempt.
struct reply_not_run
{
    request_id id;
    refusal_reason reason = refusal_reason::no_room;
    std::optional<ticket> next;
};

/// Reply that the request may have run.
struct reply_unknown
{
    request_id id;
    refusal_reason reason = refusal_reason::upstream_lost;
};

/// Reply that a different request has redeemed the ticket.
struct reply_conflict
{
    request_id id;
};

/// Reply that the request was answered, but that its answer is not retained.
struct reply_answer_not_retained
{
    request_id id;
};

/// Cancel a send whose caller has disconnected. Its end is not reported to the engine.
struct cancel_send
{
    request_id id;
};

using entry_command =
    std::variant<send_upstream, send_peer, forward_answer, complete_answer, truncate_answer,
                 reply_retained_answer, reply_not_run, reply_unknown, reply_conflict,
                 reply_answer_not_retained, cancel_send, abandon_send>;

} // namespace burdockstep
