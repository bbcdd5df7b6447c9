/// The task type of the gateway and the context that its tasks share.
#pragma once

#include "services/burdockstep_gateway/events.hpp"

#include "libraries/configuration/gateway_settings.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/error.hpp"
#include "libraries/core/random.hpp"
#include "libraries/http1/memory_budget.hpp"
#include "libraries/net/event_loop.hpp"
#include "libraries/service/task_list.hpp"

namespace burdockstep::gateway {

/// The budgets of the bytes and connections that the process holds for others.
struct gateway_budgets
{
    std::shared_ptr<http1::memory_budget> callers; ///< For callers, their requests and look-ups.
    /// For readiness checks and metrics, so that callers can't take their room.
    std::shared_ptr<http1::memory_budget> operators;
};

/// The objects that all tasks of one gateway process share.
struct gateway_context
{
    event_loop& loop;
    clock_source const& clock;
    random_source& random;
    gateway_settings& settings;
    member_run run;  ///< Tells this run of the instance from its other runs.
    event_sink post; ///< Queues an event for delivery to all tasks.
    gateway_budgets budgets;
};

/// A task that the gateway's supervisor starts and delivers events to.
using task = service_task<event>;

} // namespace burdockstep::gateway
