/// The tasks of a daemon and the list that holds them.
#pragma once

#include "libraries/core/error.hpp"
#include "libraries/core/log.hpp"

#include <algorithm>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstep {

/// Exit codes of a daemon.
enum class service_exit_code : int
{
    stopped = 0,          ///< Planned stop; all work was finished.
    invalid_settings = 2, ///< The settings can't be read or are invalid.
    stop_timed_out = 3,   ///< Planned stop; the time limit passed with work still under way.
    failed = 70           ///< A task failed; the platform restarts the process.
};

/// A component of a daemon. It owns sockets and state, and communicates with other tasks by events.
template <class Event>
class service_task
{
public:
    virtual ~service_task() = default;

    /// Name for the log.
    virtual std::string_view name() const = 0;
    /// Binds sockets and starts timers. Fails when a socket can't be bound.
    virtual result<void> try_start() = 0;
    /// Handles an event that any task has posted.
    virtual void receive(Event const& posted_event) = 0;
    /// True when no work is under way, so that the process may exit.
    virtual bool is_idle() const { return true; }
    /// Appends this task's metrics to `out`, one per line.
    virtual void write_metrics(std::string& /*out*/) const {}
};

/// Holds a daemon's tasks. They start and receive events in the order in which they were added.
template <class Event>
class task_list
{
public:
    using task_type = service_task<Event>;

    void add(std::unique_ptr<task_type> task) { tasks_.push_back(std::move(task)); }

    /// Starts the tasks in order. Stops at the first failure and returns it.
    result<void> try_start()
    {
        for (auto const& each : tasks_)
            BOOST_LEAF_CHECK(each->try_start());
        return {};
    }

    /// Delivers an event to all tasks. Returns false when one of them throws: its state can't be
    /// rebuilt independently of the others, so the process must exit.
    bool deliver(Event const& posted_event, logger& log)
    {
        bool all_succeeded = true;
        for (auto const& each : tasks_) {
            try {
                each->receive(posted_event);
            }
            catch (std::exception const& error) {
                log.error("task failed; exiting so that the platform restarts the process",
                          {field("task", each->name()), field("why", error.what())});
                all_succeeded = false;
            }
        }
        return all_succeeded;
    }

    /// True when all tasks are idle.
    bool is_idle() const
    {
        return std::all_of(tasks_.begin(), tasks_.end(),
                           [](auto const& each) { return each->is_idle(); });
    }

    /// The metrics of all tasks.
    std::string metrics() const
    {
        std::string out;
        for (auto const& each : tasks_)
            each->write_metrics(out);
        return out;
    }

    void clear() { tasks_.clear(); }

private:
    std::vector<std::unique_ptr<task_type>> tasks_;
};

} // namespace burdockstep
