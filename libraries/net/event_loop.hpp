/// The libuv event loop of a process, its timers and work posted to it.
#pragma once

#include "libraries/core/clock.hpp"

#include <uv.h>

#include <deque>
#include <functional>
#include <memory>

namespace burdockstep {

/// Owns a libuv loop. Not thread-safe: all members are called from one thread.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Processes events until `stop` is called or nothing is left to wait for.
    void run();
    /// Makes `run` return once the current loop iteration ends.
    void stop();
    /// Runs `work` from the loop, after the current callback has returned.
    void post(std::function<void()> work);

    uv_loop_t* raw() { return &loop_; }

private:
    void run_posted_work();

    uv_loop_t loop_{};
    uv_idle_t
        idle_handle_{}; ///< Active while posted work is pending, so that the loop doesn't block.
    uv_check_t check_handle_{};
    std::deque<std::function<void()>> posted_work_;
};

/// A one-shot or periodic timer. Destroying it stops it.
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

    state* state_; ///< Freed in the close callback of its libuv handle.
};

} // namespace burdockstep
