/// Starts the daemon's tasks, hands events round, and ends the process when it should.
#pragma once

#include "services/burdockstepd/daemon_context.hpp"
#include "services/burdockstepd/task.hpp"

#include "libraries/core/log.hpp"

#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace burdockstep {

/// Root of the tree. A task that throws ends the process, so that the platform replaces it: each
/// task's state is bound to the tickets of this incarnation and can't be rebuilt apart.
class supervisor
{
public:
    supervisor(event_loop& loop, clock_source const& clock, random_source& random,
               daemon_settings& settings);
    ~supervisor();
    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

    /// Starts all tasks. When `addresses_file` isn't empty, writes the bound addresses to it.
    result<void> try_start(std::string const& addresses_file);
    /// Runs until a stop is complete or a task has failed.
    service_exit_code run();

private:
    void deliver(event const& what);
    void begin_stop();
    void expire_lookups();
    void check_idle();
    void end(service_exit_code how);

    event_loop& loop_;
    daemon_settings& settings_;
    daemon_context context_;
    logger log_{"supervisor"};
    task_list<event> tasks_;
    uv_signal_t terminate_{};
    uv_signal_t interrupt_{};
    timer stop_timer_;
    time_point stop_began_;
    bool stopping_ = false;
    service_exit_code exit_ = service_exit_code::stopped;
};

} // namespace burdockstep
