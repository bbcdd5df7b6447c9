/// The gateway's tasks and what they share.
#pragma once

#include "services/burdockstep_gateway/events.hpp"

#include "libraries/configuration/gateway_settings.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/error.hpp"
#include "libraries/core/random.hpp"
#include "libraries/net/event_loop.hpp"
#include "libraries/service/task_list.hpp"

namespace burdockstep::gateway {

/// What all tasks of a gateway share by reference.
struct gateway_context
{
    event_loop& loop;
    clock_source const& clock;
    random_source& random;
    gateway_settings& settings;
    member_run run;
    event_sink post;
};

/// One child of the supervisor.
using task = service_task<event>;

} // namespace burdockstep::gateway
