/// What a caller is told of its request.
#pragma once

#include <string>

namespace burdockstep {

/// The three outcomes.
enum class outcome_kind
{
    answered, ///< An upstream's whole answer.
    not_run,  ///< No upstream ran it, and none will.
    unknown   ///< It may have run.
};

/// Why a request was not run, or why its outcome is unknown.
enum class refusal_reason
{
    no_room,          ///< Every permitted slot is taken and the queue is full.
    deadline_passed,  ///< The deadline passed before dispatch.
    no_upstream,      ///< No upstream of the service may take it.
    shed,             ///< The upstream said that it didn't run it.
    not_connected,    ///< The upstream couldn't be connected to.
    caller_gone,      ///< The caller went away before dispatch.
    bad_ticket,       ///< The ticket is missing, malformed, or not of an open epoch.
    no_configuration, ///< This entry has no configuration yet.
    upstream_lost,    ///< The connection ended or stalled after dispatch.
    entry_lost,       ///< The entry that holds the ticket can't be reached.
    epoch_discarded   ///< The ticket's epoch is out of memory.
};

/// The reason as callers and logs see it, such as "no-room".
char const* name_of(refusal_reason reason);

} // namespace burdockstep
