/// Starts the daemon's tasks, delivers events to them, and stops the process.
#pragma once

#include "services/burdockstepd/daemon_context.hpp"
#include "services/burdockstepd/task.hpp"

#include "libraries/core/log.hpp"

#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace burdockstep {

/// Owns all tasks. If a task throws, the process ends and the platform restarts it: the state of
/// each task belongs to this incarnation's tickets, so a single task can't be restarted alone.
class supervisor
{
public:
    supervisor(event_loop& loop, clock_source const& clock, random_source& random,
               daemon_settings& settings);
    ~supervisor();
    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

    /// Starts all tasks. If `addresses_file` isn't empty, writes the bound addresses to that file.
    result<void> try_start(std::string const& addresses_file);
    /// Runs the event loop until a stop is complete or a task fails, and returns the exit code.
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
