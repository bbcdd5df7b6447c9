/// Messages into and out of the entry engine.
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

/// How a request came to this entry.
enum class call_route
{
    direct,    ///< From a caller.
    forwarded, ///< From an entry that doesn't own the pool, or doesn't hold the ticket.
    spilled    ///< From the owner of a full pool in another region; it isn't spilled again.
};

/// A request that has arrived whole.
struct call_arrival
{
    request_id id;
    service_name service;
    std::optional<ticket> presented;
    digest request; ///< Of method, path and body.
    /// What is left of the caller's deadline; zero when the caller set none.
    duration deadline{};
    call_route route = call_route::direct;
    /// Region of the caller; empty when it isn't known, which counts as this entry's.
    region_name home_region;
};

/// What the head of an answer says.
enum class answer_head_kind
{
    answer,  ///< The service's answer.
    not_run, ///< The other side says that it didn't run the request.
    unknown  ///< A peer entry says that the outcome is unknown.
};

/// How a send ended.
enum class send_end
{
    complete,      ///< The whole answer has arrived.
    not_connected, ///< No connection was made.
    broken         ///< The connection ended, stalled, or the answer was cut.
};

/// Send the request to an upstream. The call counts as dispatched already.
struct send_upstream
{
    request_id id;
    upstream_name upstream;
    address to;
    duration time_left{};
    /// Use a connection that was never used: for work that isn't idempotent, as a pooled connection
    /// may send it twice, and for a further try, as pooled connections may all be silent.
    bool fresh_connection = false;
};

/// Send the request to another entry's callers' address.
struct send_peer
{
    request_id id;
    address to;
    std::optional<ticket> present; ///< To show there.
    call_route route = call_route::forwarded;
    duration time_left{};
    bool fresh_connection = false;
};

/// Stop a send that is silent, and use none of the connections to that address again. A further
/// send of the same request follows.
struct abandon_send
{
    request_id id;
    address upstream_address;
};

/// Hand the head that has just arrived to the caller, then the body as it comes.
struct forward_answer
{
    request_id id;
};

/// End a forwarded answer as whole.
struct complete_answer
{
    request_id id;
};

/// End a forwarded answer so that the caller sees it cut.
struct truncate_answer
{
    request_id id;
};

/// Answer with the answer that the ticket's first request got.
struct reply_retained_answer
{
    request_id id;
    std::shared_ptr<retained_answer const> answer;
};

/// Answer that the request wasn't run. `next` is a ticket for a further try.
struct reply_not_run
{
    request_id id;
    refusal_reason reason = refusal_reason::no_room;
    std::optional<ticket> next;
};

/// Answer that the request may have run.
struct reply_unknown
{
    request_id id;
    refusal_reason reason = refusal_reason::upstream_lost;
};

/// Answer that the ticket was spent on another request.
struct reply_conflict
{
    request_id id;
};

/// Answer that the request did run, and that its answer is no longer kept.
struct reply_answer_not_retained
{
    request_id id;
};

/// Stop a send; its end isn't reported.
struct cancel_send
{
    request_id id;
};

using entry_command =
    std::variant<send_upstream, send_peer, forward_answer, complete_answer, truncate_answer,
                 reply_retained_answer, reply_not_run, reply_unknown, reply_conflict,
                 reply_answer_not_retained, cancel_send, abandon_send>;

} // namespace burdockstep
