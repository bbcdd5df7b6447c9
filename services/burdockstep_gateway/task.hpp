/// A part of the gateway that owns sockets and state and talks by events.
#pragma once

#include "services/burdockstep_gateway/events.hpp"

#include "libraries/configuration/gateway_settings.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/error.hpp"
#include "libraries/core/random.hpp"
#include "libraries/net/event_loop.hpp"

#include <string>
#include <string_view>

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
class task
{
public:
    virtual ~task() = default;

    virtual std::string_view name() const = 0;
    /// Binds sockets and starts timers.
    virtual result<void> try_start() = 0;
    /// Takes an event that any task has posted.
    virtual void receive(event const& what) = 0;
    /// True when nothing is under way, so that the process may end.
    virtual bool is_idle() const { return true; }
    /// Appends this task's counters, one a line.
    virtual void write_metrics(std::string& /*out*/) const {}
};

} // namespace burdockstep::gateway
