#include "services/burdockstep_gateway/supervisor.hpp"

#include "services/burdockstep_gateway/discovery/discovery_task.hpp"
#include "services/burdockstep_gateway/lookups/lookups_task.hpp"
#include "services/burdockstep_gateway/memory/memory_task.hpp"
#include "services/burdockstep_gateway/peers/peers_task.hpp"
#include "services/burdockstep_gateway/requests/requests_task.hpp"

#include "libraries/core/file.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <exception>
#include <iterator>
#include <sstream>
#include <utility>

namespace burdockstep::gateway {

namespace {

constexpr duration housekeeping_interval = std::chrono::milliseconds(200);
/// A housekeeping timer that is later than this means that the process was suspended or starved.
constexpr duration max_timer_delay = std::chrono::milliseconds(900);
constexpr unsigned housekeeping_runs_per_settings_check = 5;
/// Every ten seconds the metrics go to the log too, for the time after the process has ended.
constexpr unsigned housekeeping_runs_per_metrics_line = 50;
/// Interval at which a planned stop checks its progress. Callers repeat their look-up within the
/// look-up lifetime; until then this entry keeps serving them.
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
/// Last part of the stop limit, in which requests under way may complete and new ones are refused.
constexpr duration request_completion_time = std::chrono::milliseconds(2'600);
/// Longest time in which the last answers are sent before the process exits.
constexpr duration answer_sending_time = std::chrono::milliseconds(150);
/// The last answers are given this long before the stop limit.
constexpr duration stop_limit_margin = std::chrono::milliseconds(350);

duration time_since_boot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                std::chrono::nanoseconds(now.tv_nsec));
}

std::int64_t modification_time_ns(std::string const& path)
{
    struct stat file_status
    {};
    if (stat(path.c_str(), &file_status) != 0)
        return 0;
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return file_status.st_mtim.tv_sec * ns_per_s + file_status.st_mtim.tv_nsec;
}

} // namespace

supervisor::supervisor(event_loop& loop, clock_source const& clock, random_source& random,
                       gateway_settings& settings, std::string settings_path)
    : loop_(loop), settings_(settings), settings_path_(std::move(settings_path)),
      context_{.loop = loop,
               .clock = clock,
               .random = random,
               .settings = settings,
               .run = make_member_run(random),
               .post =
                   [this](event new_event) {
                       loop_.post([this, new_event = std::move(new_event)] { deliver(new_event); });
                   },
               .budgets = make_gateway_budgets(settings)},
      housekeeping_timer_(loop), stop_timer_(loop)
{
    for (uv_signal_t* const signal_handle :
         {&terminate_signal_, &interrupt_signal_, &hangup_signal_}) {
        uv_signal_init(loop.raw(), signal_handle);
        signal_handle->data = this;
    }
}

supervisor::~supervisor()
{
    for (uv_signal_t* const signal_handle :
         {&terminate_signal_, &interrupt_signal_, &hangup_signal_})
        uv_close(reinterpret_cast<uv_handle_t*>(signal_handle), nullptr);
}

result<void> supervisor::try_start(discovery_store& store_client, http_dialect const& dialect)
{
    std::signal(SIGPIPE, SIG_IGN);
    tasks_.add(std::make_unique<memory_task>(context_));
    tasks_.add(std::make_unique<requests_task>(context_, dialect));
    tasks_.add(
        std::make_unique<lookups_task>(context_, dialect, [this] { return tasks_.metrics(); }));
    tasks_.add(std::make_unique<peers_task>(context_));
    tasks_.add(std::make_unique<discovery_task>(context_, store_client));
    BOOST_LEAF_CHECK(tasks_.try_start());
    auto const stop = [](uv_signal_t* signal, int) {
        static_cast<supervisor*>(signal->data)->begin_stop();
    };
    uv_signal_start(&terminate_signal_, stop, SIGTERM);
    uv_signal_start(&interrupt_signal_, stop, SIGINT);
    uv_signal_start(
        &hangup_signal_,
        [](uv_signal_t* signal, int) {
            static_cast<supervisor*>(signal->data)->reload_settings("signal");
        },
        SIGHUP);
    settings_modified_at_ns_ = modification_time_ns(settings_path_);
    last_housekeeping_at_ = time_since_boot();
    housekeeping_timer_.start_periodic(housekeeping_interval, [this] { run_housekeeping(); });
    log_.info("started",
              {field("instance", settings_.instance.get()), field("place", settings_.place.get()),
               field("incarnation", context_.run.incarnation.get()),
               field("callers", settings_.callers.text()), field("peers", settings_.peers.text())});
    return {};
}

service_exit_code supervisor::run()
{
    loop_.run();
    return exit_reason_;
}

void supervisor::deliver(event const& new_event)
{
    if (!tasks_.deliver(new_event, log_))
        end_process(service_exit_code::failed);
}

void supervisor::run_housekeeping()
{
    logger::flush();
    duration const now = time_since_boot();
    duration const time_since_last_run = now - last_housekeeping_at_;
    last_housekeeping_at_ = now;
    if (time_since_last_run > housekeeping_interval + max_timer_delay)
        deliver(process_resumed{.stall_duration = time_since_last_run});
    ++housekeeping_runs_;
    if (housekeeping_runs_ % housekeeping_runs_per_metrics_line == 0)
        log_metrics();
    if (housekeeping_runs_ % housekeeping_runs_per_settings_check != 0)
        return;
    std::int64_t const modified_at_ns = modification_time_ns(settings_path_);
    if (modified_at_ns != settings_modified_at_ns_)
        reload_settings("file");
}

void supervisor::log_metrics()
{
    constexpr std::string_view prefix = "burdockstep_";
    std::istringstream lines(tasks_.metrics());
    std::string values;
    for (std::string line; std::getline(lines, line);) {
        std::string_view const text = line;
        auto const separator = text.rfind(' ');
        std::string_view const name = text.substr(0, separator);
        std::string_view const value = text.substr(separator + 1);
        if (value != "0")
            fmt::format_to(std::back_inserter(values), "{}={} ",
                           name.starts_with(prefix) ? name.substr(prefix.size()) : name, value);
    }
    log_.info("metrics", {field("values", values)});
}

void supervisor::reload_settings(std::string_view trigger)
{
    settings_modified_at_ns_ = modification_time_ns(settings_path_);
    auto parse_result = handle_failure(
        [&]() -> result<gateway_settings_parse_result> {
            BOOST_LEAF_AUTO(text, read_file(settings_path_));
            return read_gateway_settings(settings_path_, text);
        },
        [&](failure const& error) {
            return gateway_settings_parse_result{
                .settings = {}, .findings = {{.file = settings_path_, .remedy = error.message}}};
        });
    if (!parse_result.settings) {
        log_.error(
            "settings file is invalid; keeping the current settings",
            {field("why", trigger), field("findings", findings_text(parse_result.findings))});
        return;
    }
    gateway_settings& new_settings = *parse_result.settings;
    // Addresses and the instance name are fixed for the life of the process.
    bool const restart_required =
        new_settings.callers != settings_.callers || new_settings.peers != settings_.peers ||
        new_settings.store != settings_.store || new_settings.lookups != settings_.lookups ||
        new_settings.readiness != settings_.readiness ||
        new_settings.instance != settings_.instance;
    if (restart_required)
        log_.warning("settings change addresses or the instance name; restart required");
    settings_.lookup_lifetime = new_settings.lookup_lifetime;
    settings_.stop_limit = new_settings.stop_limit;
    settings_.drain_limit = new_settings.drain_limit;
    log_.info("settings read again", {field("why", trigger)});
}

void supervisor::begin_stop()
{
    if (stopping_ || ending_)
        return;
    stopping_ = true;
    time_point const now = context_.clock.now();
    stop_ends_at_ = now + settings_.stop_limit - stop_limit_margin;
    caller_grace_period_ends_at_ = now + settings_.stop_limit - request_completion_time;
    log_.info("stop begun; look-ups no longer return this entry",
              {field("instance", settings_.instance.get())});
    deliver(stop_begun{.process_end = stop_ends_at_});
    if (ending_)
        return;
    stop_timer_.start_periodic(stop_check_interval, [this] { check_stop_progress(); });
}

void supervisor::check_stop_progress()
{
    time_point const now = context_.clock.now();
    if (!caller_grace_period_ended_ && now >= caller_grace_period_ends_at_) {
        caller_grace_period_ended_ = true;
        deliver(caller_grace_period_ended{});
        if (ending_)
            return;
    }
    bool const idle = tasks_.is_idle();
    bool const limit_reached = now >= stop_ends_at_;
    if (!limit_reached && !(caller_grace_period_ended_ && idle))
        return;
    if (idle)
        log_.info("stopped; no requests under way");
    else
        log_.warning("stop limit reached with requests under way");
    log_metrics();
    end_process(idle ? service_exit_code::stopped : service_exit_code::stop_timed_out);
}

void supervisor::end_process(service_exit_code reason)
{
    if (std::exchange(ending_, true))
        return;
    exit_reason_ = reason;
    stop_timer_.stop();
    tasks_.deliver(process_ending{}, log_);
    // Leaves the event loop time to send the answers that were just written, and to refuse requests
    // that arrive now.
    time_point const latest_end = context_.clock.now() + answer_sending_time;
    stop_timer_.start_periodic(stop_check_interval, [this, latest_end] {
        if (tasks_.is_idle() || context_.clock.now() >= latest_end)
            loop_.stop();
    });
}

} // namespace burdockstep::gateway
