/// Discrete-event scheduler: runs functions in virtual time.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace burdockstep::testing {

/// Runs scheduled functions in order of their time. Functions scheduled for the same time run in
/// the order in which they were scheduled.
class event_queue
{
public:
    time_point now() const { return now_; }

    /// Schedules the action for the given time, or for now if that time has passed.
    void at(time_point when, std::function<void()> action)
    {
        events_.push({.when = std::max(when, now_),
                      .sequence = next_sequence_++,
                      .action = std::move(action)});
    }
    void after(duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs everything scheduled up to and including `end`, then sets the time to `end`.
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            auto const event = events_.top();
            events_.pop();
            now_ = event.when;
            event.action();
        }
        now_ = end;
    }

private:
    struct scheduled_event
    {
        time_point when;
        std::uint64_t sequence;
        std::function<void()> action;

        /// Reversed, since `std::priority_queue` puts the greatest element on top.
        friend bool operator<(scheduled_event const& left, scheduled_event const& right)
        {
            return left.when != right.when ? left.when > right.when
                                           : left.sequence > right.sequence;
        }
    };

    time_point now_{std::chrono::seconds(1'000)};
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<scheduled_event> events_;
};

} // namespace burdockstep::testing
