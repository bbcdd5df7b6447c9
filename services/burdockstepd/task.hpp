/// The event and task types of the daemon.
#pragma once

#include "services/burdockstepd/events.hpp"

#include "libraries/service/task_list.hpp"

#include <functional>

namespace burdockstep {

/// Queues an event for delivery to all tasks.
using event_sink = std::function<void(event)>;

/// A task of the daemon, owned by the supervisor.
using task = service_task<event>;

} // namespace burdockstep
