#include "services/burdockstepd/supervisor.hpp"

#include "services/burdockstepd/callers/callers_task.hpp"
#include "services/burdockstepd/operators/operators_task.hpp"
#include "services/burdockstepd/peers/peers_task.hpp"
#include "services/burdockstepd/platform/platform_task.hpp"

#include "libraries/core/file.hpp"

#include <algorithm>
#include <exception>

namespace burdockstep {

namespace {

/// Time for the start of a stop to become known to the other entries, which then leave this one out
/// of their look-up answers.
constexpr duration stop_propagation_time = std::chrono::seconds(1);
constexpr duration idle_check_interval = std::chrono::milliseconds(50);

} // namespace

supervisor::supervisor(event_loop& loop, clock_source const& clock, random_source& random,
                       daemon_settings& settings)
    : loop_(loop),
      settings_(settings), context_{.loop = loop,
                                    .clock = clock,
                                    .random = random,
                                    .settings = settings,
                                    .own_run = make_member_run(random),
                                    .post =
                                        [this](event new_event) {
                                            loop_.post([this, new_event = std::move(new_event)] {
                                                deliver(new_event);
                                            });
                                        }},
      stop_timer_(loop)
{
    for (uv_signal_t* const signal_handle : {&terminate_signal_, &interrupt_signal_}) {
        uv_signal_init(loop.raw(), signal_handle);
        signal_handle->data = this;
    }
}

supervisor::~supervisor()
{
    for (uv_signal_t* const signal_handle : {&terminate_signal_, &interrupt_signal_})
        uv_close(reinterpret_cast<uv_handle_t*>(signal_handle), nullptr);
}

result<void> supervisor::try_start(std::string const& addresses_file)
{
    // The peers task starts after the tasks whose bound ports it announces to other entries.
    auto callers = std::make_unique<callers_task>(context_);
    auto operators = std::make_unique<operators_task>(context_, *callers);
    tasks_.add(std::move(callers));
    tasks_.add(std::move(operators));
    tasks_.add(std::make_unique<peers_task>(context_));
    tasks_.add(std::make_unique<platform_task>(context_));
    BOOST_LEAF_CHECK(tasks_.try_start());
    auto const on_signal = [](uv_signal_t* signal, int) {
        static_cast<supervisor*>(signal->data)->begin_stop();
    };
    uv_signal_start(&terminate_signal_, on_signal, SIGTERM);
    uv_signal_start(&interrupt_signal_, on_signal, SIGINT);
    std::signal(SIGPIPE, SIG_IGN);
    log_.info("started", {field("instance", settings_.instance.get()),
                          field("callers", settings_.callers.text()),
                          field("operators", settings_.operators.text()),
                          field("peers", settings_.peers.text())});
    if (addresses_file.empty())
        return {};
    return write_file(addresses_file,
                      fmt::format("{}\n{}\n{}\n", settings_.callers.text(),
                                  settings_.operators.text(), settings_.peers.text()));
}

service_exit_code supervisor::run()
{
    loop_.run();
    tasks_.clear();
    return exit_reason_;
}

void supervisor::deliver(event const& new_event)
{
    if (!tasks_.deliver(new_event, log_))
        end_process(service_exit_code::failed);
}

void supervisor::begin_stop()
{
    if (is_stopping_)
        return;
    is_stopping_ = true;
    stop_started_at_ = context_.clock.now();
    log_.info("stop begun; look-ups no longer include this entry",
              {field("instance", settings_.instance.get())});
    deliver(stop_begun{});
    stop_timer_.start_once(stop_propagation_time + settings_.lookup_lifetime,
                           [this] { handle_cached_lookups_expired(); });
}

void supervisor::handle_cached_lookups_expired()
{
    deliver(cached_lookups_expired{});
    stop_timer_.start_periodic(idle_check_interval, [this] { stop_if_idle_or_past_limit(); });
}

void supervisor::stop_if_idle_or_past_limit()
{
    bool const has_no_work_in_progress = tasks_.is_idle();
    bool const is_past_limit = context_.clock.now() - stop_started_at_ > settings_.drain_limit;
    if (!has_no_work_in_progress && !is_past_limit)
        return;
    if (!has_no_work_in_progress)
        log_.warning("stop limit reached with requests in flight; raise drain_limit_ms");
    else
        log_.info("stopped; no requests were in flight");
    end_process(has_no_work_in_progress ? service_exit_code::stopped
                                        : service_exit_code::stop_timed_out);
}

void supervisor::end_process(service_exit_code end_reason)
{
    exit_reason_ = end_reason;
    loop_.stop();
}

} // namespace burdockstep
