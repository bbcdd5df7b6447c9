#include "libraries/net/event_loop.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

std::uint64_t to_milliseconds(duration span)
{
    auto const rounded_up_ms = std::chrono::ceil<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(rounded_up_ms, 0));
}

void close_if_open(uv_handle_t* handle, void* /*context*/)
{
    if (uv_is_closing(handle) == 0)
        uv_close(handle, nullptr);
}

} // namespace

event_loop::event_loop()
{
    uv_loop_init(&loop_);
    uv_idle_init(&loop_, &idle_handle_);
    uv_check_init(&loop_, &check_handle_);
    check_handle_.data = this;
    uv_check_start(&check_handle_, [](uv_check_t* handle) {
        static_cast<event_loop*>(handle->data)->run_posted_work();
    });
    // Unreferenced, so that only open sockets and timers keep the loop running.
    uv_unref(reinterpret_cast<uv_handle_t*>(&check_handle_));
}

event_loop::~event_loop()
{
    uv_walk(&loop_, close_if_open, nullptr);
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
}

void event_loop::run()
{
    uv_run(&loop_, UV_RUN_DEFAULT);
}

void event_loop::stop()
{
    uv_stop(&loop_);
}

void event_loop::post(std::function<void()> work)
{
    posted_work_.push_back(std::move(work));
    uv_idle_start(&idle_handle_, [](uv_idle_t*) {});
}

void event_loop::run_posted_work()
{
    // Work posted from within this batch runs in the next iteration, so that sockets are served
    // in between.
    auto work_to_run = std::exchange(posted_work_, {});
    for (auto const& work : work_to_run)
        work();
    if (posted_work_.empty())
        uv_idle_stop(&idle_handle_);
}

timer::timer(event_loop& loop) : state_(new state)
{
    state_->handle.data = state_;
    uv_timer_init(loop.raw(), &state_->handle);
}

timer::~timer()
{
    uv_timer_stop(&state_->handle);
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
             [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

void timer::start_once(duration delay, std::function<void()> action)
{
    start(delay, duration::zero(), std::move(action));
}

void timer::start_periodic(duration interval, std::function<void()> action)
{
    start(interval, interval, std::move(action));
}

void timer::start(duration delay, duration interval, std::function<void()> action)
{
    state_->action = std::move(action);
    auto const on_timer = [](uv_timer_t* handle) {
        // Copied, because the action may restart the timer and so replace itself.
        auto const action_copy = static_cast<state*>(handle->data)->action;
        action_copy();
    };
    // libuv counts from the time that the loop cached at the start of its iteration. After a long
    // callback, or before `run`, the timer would be due too early.
    uv_update_time(state_->handle.loop);
    uv_timer_start(&state_->handle, on_timer, to_milliseconds(delay), to_milliseconds(interval));
}

void timer::stop()
{
    uv_timer_stop(&state_->handle);
}

} // namespace burdockstep
