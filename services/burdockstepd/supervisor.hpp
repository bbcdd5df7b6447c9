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
    void deliver(event const& new_event);
    void begin_stop();
    void handle_cached_lookups_expired();
    void stop_if_idle_or_past_limit();
    void end_process(service_exit_code end_reason);

    event_loop& loop_;
    daemon_settings& settings_;
    daemon_context context_;
    logger log_{"supervisor"};
    task_list<event> tasks_;
    uv_signal_t terminate_signal_{};
    uv_signal_t interrupt_signal_{};
    timer stop_timer_;
    time_point stop_started_at_;
    bool is_stopping_ = false;
    service_exit_code exit_reason_ = service_exit_code::stopped;
};

} // namespace burdockstep
