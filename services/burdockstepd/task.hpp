/// The daemon's tasks.
#pragma once

#include "services/burdockstepd/events.hpp"

#include "libraries/service/task_list.hpp"

#include <functional>

namespace burdockstep {

/// Posts an event to all tasks.
using event_sink = std::function<void(event)>;

/// One child of the supervisor.
using task = service_task<event>;

} // namespace burdockstep
