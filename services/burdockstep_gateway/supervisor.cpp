#include "services/burdockstep_gateway/supervisor.hpp"

#include "services/burdockstep_gateway/discovery/discovery_task.hpp"
#include "services/burdockstep_gateway/lookups/lookups_task.hpp"
#include "services/burdockstep_gateway/peers/peers_task.hpp"
#include "services/burdockstep_gateway/requests/requests_task.hpp"

#include "libraries/core/file.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <exception>

namespace burdockstep::gateway {

namespace {

constexpr duration look_after_interval = std::chrono::milliseconds(200);
/// A timer that is so late means that the process stood still.
constexpr duration longest_delay = std::chrono::milliseconds(900);
constexpr unsigned looks_per_settings_check = 5;
/// Callers look up anew within the look-ups' lifetime; until then they are served here.
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
/// What is under way gets this much of the stop's time at the end.
constexpr duration stop_reserve = std::chrono::milliseconds(2'600);
constexpr duration stop_margin = std::chrono::milliseconds(250);

duration since_boot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                std::chrono::nanoseconds(now.tv_nsec));
}

std::int64_t change_time_ns(std::string const& path)
{
    struct stat status
    {};
    if (stat(path.c_str(), &status) != 0)
        return 0;
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return status.st_mtim.tv_sec * ns_per_s + status.st_mtim.tv_nsec;
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
                   [this](event what) {
                       loop_.post([this, what = std::move(what)] { deliver(what); });
                   }},
      look_after_timer_(loop), stop_timer_(loop)
{
    for (uv_signal_t* const each : {&terminate_, &interrupt_, &hang_up_}) {
        uv_signal_init(loop.raw(), each);
        each->data = this;
    }
}

supervisor::~supervisor()
{
    for (uv_signal_t* const each : {&terminate_, &interrupt_, &hang_up_})
        uv_close(reinterpret_cast<uv_handle_t*>(each), nullptr);
}

result<void> supervisor::try_start(discovery_store& source, http_dialect const& dialect)
{
    std::signal(SIGPIPE, SIG_IGN);
    tasks_.add(std::make_unique<requests_task>(context_, dialect));
    tasks_.add(
        std::make_unique<lookups_task>(context_, dialect, [this] { return tasks_.metrics(); }));
    tasks_.add(std::make_unique<peers_task>(context_));
    tasks_.add(std::make_unique<discovery_task>(context_, source));
    BOOST_LEAF_CHECK(tasks_.try_start());
    auto const stop = [](uv_signal_t* signal, int) {
        static_cast<supervisor*>(signal->data)->begin_stop();
    };
    uv_signal_start(&terminate_, stop, SIGTERM);
    uv_signal_start(&interrupt_, stop, SIGINT);
    uv_signal_start(
        &hang_up_,
        [](uv_signal_t* signal, int) { static_cast<supervisor*>(signal->data)->reload("signal"); },
        SIGHUP);
    settings_changed_ns_ = change_time_ns(settings_path_);
    last_looked_at_ = since_boot();
    look_after_timer_.start_periodic(look_after_interval, [this] { look_after(); });
    log_.info("started",
              {field("instance", settings_.instance.get()), field("place", settings_.place.get()),
               field("incarnation", context_.run.incarnation.get()),
               field("callers", settings_.callers.text()), field("peers", settings_.peers.text())});
    return {};
}

service_exit_code supervisor::run()
{
    loop_.run();
    return exit_;
}

void supervisor::deliver(event const& what)
{
    if (!tasks_.deliver(what, log_))
        end(service_exit_code::failed);
}

void supervisor::look_after()
{
    logger::flush();
    duration const now = since_boot();
    duration const gap = now - last_looked_at_;
    last_looked_at_ = now;
    if (gap > look_after_interval + longest_delay)
        deliver(process_resumed{.stood_still = gap});
    if (++looks_ % looks_per_settings_check != 0)
        return;
    std::int64_t const changed = change_time_ns(settings_path_);
    if (changed != settings_changed_ns_)
        reload("file");
}

void supervisor::reload(std::string_view why)
{
    settings_changed_ns_ = change_time_ns(settings_path_);
    auto reading = handle_failure(
        [&]() -> result<gateway_settings_parse_result> {
            BOOST_LEAF_AUTO(text, read_file(settings_path_));
            return read_gateway_settings(settings_path_, text);
        },
        [&](failure const& error) {
            return gateway_settings_parse_result{
                .settings = {}, .findings = {{.file = settings_path_, .remedy = error.message}}};
        });
    if (!reading.settings) {
        log_.error("settings can't be used; those in force stay",
                   {field("why", why), field("findings", findings_text(reading.findings))});
        return;
    }
    gateway_settings& next = *reading.settings;
    // Addresses hold for the life of the process.
    bool const moved = next.callers != settings_.callers || next.peers != settings_.peers ||
                       next.store != settings_.store || next.lookups != settings_.lookups ||
                       next.readiness != settings_.readiness || next.instance != settings_.instance;
    if (moved)
        log_.warning("settings name other addresses; they hold from the next start");
    settings_.lookup_lifetime = next.lookup_lifetime;
    settings_.stop_limit = next.stop_limit;
    settings_.drain_limit = next.drain_limit;
    log_.info("settings read again", {field("why", why)});
}

void supervisor::begin_stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    stop_began_ = context_.clock.now();
    log_.info("stop begun; look-ups name this entry no more",
              {field("instance", settings_.instance.get())});
    deliver(stop_begun{});
    stop_timer_.start_periodic(stop_check_interval, [this] { check_stop(); });
}

void supervisor::check_stop()
{
    duration const since = context_.clock.now() - stop_began_;
    duration const serve_for = settings_.stop_limit - stop_reserve;
    if (!callers_moved_on_ && since >= serve_for) {
        callers_moved_on_ = true;
        deliver(callers_moved_on{});
    }
    bool const idle = tasks_.is_idle();
    bool const too_long = since >= settings_.stop_limit - stop_margin;
    if (!too_long && !(callers_moved_on_ && idle))
        return;
    if (idle)
        log_.info("stopped; nothing was under way");
    else
        log_.warning("stop limit reached with work under way");
    end(idle ? service_exit_code::stopped : service_exit_code::stop_timed_out);
}

void supervisor::end(service_exit_code how)
{
    exit_ = how;
    stop_timer_.stop();
    // Answers that were just written get a moment to leave.
    stop_timer_.start_once(stop_check_interval, [this] { loop_.stop(); });
}

} // namespace burdockstep::gateway
