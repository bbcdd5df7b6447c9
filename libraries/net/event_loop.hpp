/// The libuv loop of a process, timers and posted work.
#pragma once

#include "libraries/core/clock.hpp"

#include <uv.h>

#include <deque>
#include <functional>
#include <memory>

namespace burdockstep {

/// Owns the loop. All of it is used from one thread.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Runs until `stop`.
    void run();
    /// Makes `run` return after the present callbacks.
    void stop();
    /// Runs `work` from the loop, after the present callback has returned.
    void post(std::function<void()> work);

    uv_loop_t* raw() { return &loop_; }

private:
    void run_posted_work();

    uv_loop_t loop_{};
    uv_idle_t idle_handle_{}; ///< Active while work is posted, so that the loop doesn't wait.
    uv_check_t check_handle_{};
    std::deque<std::function<void()>> posted_work_;
};

/// A timer that calls a function once or again and again. It stops when destroyed.
class timer
{
public:
    explicit timer(event_loop& loop);
    ~timer();
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    /// Calls `action` once after `delay`.
    void start_once(duration delay, std::function<void()> action);
    /// Calls `action` every `interval`.
    void start_periodic(duration interval, std::function<void()> action);
    void stop();

private:
    struct state
    {
        uv_timer_t handle{};
        std::function<void()> action;
    };

    void start(duration delay, duration interval, std::function<void()> action);

    state* state_; ///< Freed by the loop's close callback.
};

} // namespace burdockstep
