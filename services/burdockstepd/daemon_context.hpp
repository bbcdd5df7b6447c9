/// The objects that all tasks of a daemon share.
#pragma once

#include "services/burdockstepd/task.hpp"

#include "libraries/configuration/daemon_settings.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"
#include "libraries/net/event_loop.hpp"

namespace burdockstep {

/// The event loop, clock, random numbers, settings and event sink of one daemon.
struct daemon_context
{
    event_loop& loop;
    clock_source const& clock;
    random_source& random;
    /// A listen address with port 0 is replaced by the bound address when its task starts.
    daemon_settings& settings;
    member_run own_run;
    event_sink post;
};

} // namespace burdockstep
