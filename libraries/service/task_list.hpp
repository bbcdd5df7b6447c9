/// The tasks of a daemon and the tree that holds them.
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
    stopped = 0, ///< A planned stop, with nothing cut.
    invalid_settings = 2,
    stop_timed_out = 3, ///< A planned stop that reached its limit with work under way.
    failed = 70         ///< A task failed; the platform starts the process again.
};

/// A part of a daemon that owns sockets and state and talks by events.
template <class Event>
class service_task
{
public:
    virtual ~service_task() = default;

    virtual std::string_view name() const = 0;
    /// Binds sockets and starts timers.
    virtual result<void> try_start() = 0;
    /// Takes an event that any task has posted.
    virtual void receive(Event const& posted_event) = 0;
    /// True when nothing is under way, so that the process may end.
    virtual bool is_idle() const { return true; }
    /// Appends this task's counters, one a line.
    virtual void write_metrics(std::string& /*out*/) const {}
};

/// Holds a daemon's tasks in the order in which they start and hear events.
template <class Event>
class task_list
{
public:
    using task_type = service_task<Event>;

    void add(std::unique_ptr<task_type> task) { tasks_.push_back(std::move(task)); }

    result<void> try_start()
    {
        for (auto const& each : tasks_)
            BOOST_LEAF_CHECK(each->try_start());
        return {};
    }

    /// Hands an event to all tasks. Returns false when one has failed: its state can't be rebuilt
    /// apart from the others', so the process must end.
    bool deliver(Event const& posted_event, logger& log)
    {
        bool all_succeeded = true;
        for (auto const& each : tasks_) {
            try {
                each->receive(posted_event);
            }
            catch (std::exception const& error) {
                log.error("task failed; the process ends so that the platform starts it again",
                          {field("task", each->name()), field("why", error.what())});
                all_succeeded = false;
            }
        }
        return all_succeeded;
    }

    bool is_idle() const
    {
        return std::all_of(tasks_.begin(), tasks_.end(),
                           [](auto const& each) { return each->is_idle(); });
    }

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
