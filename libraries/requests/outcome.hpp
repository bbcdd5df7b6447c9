/// The outcome of a request as it is reported to its caller.
#pragma once

#include <string>

namespace burdockstep {

/// The possible outcomes of a request.
enum class outcome_kind
{
    answered, ///< The caller received an upstream's complete answer.
    not_run,  ///< No upstream ran it, and none will.
    unknown   ///< It may have run.
};

/// Why a request was not run, or why its outcome is unknown.
enum class refusal_reason
{
    no_room,          ///< Slots and queue are full, or the shift cap forbids the move.
    deadline_passed,  ///< The deadline passed before dispatch, or while a duplicate waited.
    no_upstream,      ///< The service is unknown, or none of its upstreams may take it.
    shed,             ///< The upstream or peer entry reported that it did not run the request.
    not_connected,    ///< No connection to the upstream or peer entry could be established.
    caller_gone,      ///< The caller disconnected or the upstream was removed before dispatch.
    bad_ticket,       ///< The ticket is missing, refused earlier, or of a closed epoch.
    no_configuration, ///< This entry has not received a configuration yet.
    upstream_lost,    ///< The send was lost after dispatch, or a peer reports it as unknown.
    entry_lost,       ///< The entry that the ticket names is unreachable.
    epoch_discarded   ///< Unknown whether the ticket's request ran, or its epoch is not open.
};

/// The name of the reason in response headers and log lines, such as "no-room".
char const* name_of(refusal_reason reason);

} // namespace burdockstep
