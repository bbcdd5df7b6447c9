/// What all tasks of a daemon share by reference.
#pragma once

#include "services/burdockstepd/task.hpp"

#include "libraries/configuration/daemon_settings.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"
#include "libraries/net/event_loop.hpp"

namespace burdockstep {

/// The loop, clock, random numbers, settings and event sink of one daemon.
struct daemon_context
{
    event_loop& loop;
    clock_source const& clock;
    random_source& random;
    /// Addresses hold the ports that the system picked once the tasks have started.
    daemon_settings& settings;
    member_run own_run;
    event_sink post;
};

} // namespace burdockstep
