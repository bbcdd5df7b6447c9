/// Starts the gateway's tasks, hands events round, reloads settings and ends the process.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"
#include "libraries/forwarding/http_dialect.hpp"

#include <memory>
#include <string>
#include <vector>

namespace burdockstep::gateway {

/// Root of the tree.
class supervisor
{
public:
    supervisor(event_loop& loop, clock_source const& clock, random_source& random,
               gateway_settings& settings, std::string settings_path);
    ~supervisor();
    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

    /// Starts all tasks.
    result<void> try_start(discovery_store& source, http_dialect const& dialect);
    /// Runs until a stop is complete or a task has failed.
    service_exit_code run();

private:
    void deliver(event const& what);
    void look_after();
    void reload(std::string_view why);
    void begin_stop();
    void check_stop();
    void end(service_exit_code how);

    event_loop& loop_;
    gateway_settings& settings_;
    std::string settings_path_;
    gateway_context context_;
    logger log_{"supervisor"};
    task_list<event> tasks_;
    uv_signal_t terminate_{};
    uv_signal_t interrupt_{};
    uv_signal_t hang_up_{};
    timer look_after_timer_;
    timer stop_timer_;
    std::int64_t settings_changed_ns_ = 0;
    duration last_looked_at_{}; ///< Since boot, the time asleep included.
    unsigned looks_ = 0;
    time_point stop_began_;
    bool stopping_ = false;
    bool callers_moved_on_ = false;
    service_exit_code exit_ = service_exit_code::stopped;
};

} // namespace burdockstep::gateway
