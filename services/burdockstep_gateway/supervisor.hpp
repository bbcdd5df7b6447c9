/// Starts the gateway's tasks, delivers events to them, reloads settings and stops the process.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"
#include "libraries/forwarding/http_dialect.hpp"

#include <memory>
#include <string>
#include <vector>

namespace burdockstep::gateway {

/// Owns the gateway's tasks and handles signals, settings changes and the planned stop.
class supervisor
{
public:
    supervisor(event_loop& loop, clock_source const& clock, random_source& random,
               gateway_settings& settings, std::string settings_path);
    ~supervisor();
    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

    /// Starts all tasks, the signal handlers and the periodic housekeeping.
    result<void> try_start(discovery_store& store_client, http_dialect const& dialect);
    /// Runs the event loop until a planned stop is complete or a task has failed.
    service_exit_code run();

private:
    void deliver(event const& new_event);
    void run_housekeeping();
    /// Writes all metrics that aren't zero to the log.
    void log_metrics();
    void reload_settings(std::string_view trigger);
    void begin_stop();
    void check_stop_progress();
    void end_process(service_exit_code reason);

    event_loop& loop_;
    gateway_settings& settings_;
    std::string settings_path_;
    gateway_context context_;
    logger log_{"supervisor"};
    task_list<event> tasks_;
    uv_signal_t terminate_signal_{};
    uv_signal_t interrupt_signal_{};
    uv_signal_t hangup_signal_{};
    timer housekeeping_timer_;
    timer stop_timer_;
    std::int64_t settings_modified_at_ns_ = 0;
    duration last_housekeeping_at_{}; ///< Time since boot, including time in system sleep.
    unsigned housekeeping_runs_ = 0;
    time_point stop_ends_at_;
    time_point caller_grace_period_ends_at_;
    bool stopping_ = false;
    bool ending_ = false; ///< The process exits within milliseconds.
    bool caller_grace_period_ended_ = false;
    service_exit_code exit_reason_ = service_exit_code::stopped;
};

} // namespace burdockstep::gateway
