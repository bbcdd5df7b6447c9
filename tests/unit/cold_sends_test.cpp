// Simulates the sends of many entries to cold upstreams while entries restart, leave and join, and
// checks that all entries together stay within what a cold upstream bears.
#include "libraries/forwarding/forwarding_engine.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/member_network.hpp"
#include "tests/fakes/routing_samples.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr duration step = std::chrono::milliseconds(100);
/// An entry learns of changed members with some delay.
constexpr std::uint64_t steps_between_views = 3;
constexpr duration window = std::chrono::seconds(1);
constexpr duration settle_time = std::chrono::seconds(5);
/// The gateway's.
constexpr duration view_settle_time = std::chrono::milliseconds(2'000);
constexpr unsigned cold_upstreams = 6;
/// What an upstream bears in any second beyond its cold rate: a factor and a number of requests.
constexpr double overshoot_factor = 1.5;
constexpr double overshoot_slack = 5;

/// Parameters of one simulated deployment.
struct cold_load
{
    std::uint64_t seed = 1;
    unsigned entries = 17;
    double cold_requests_per_s = 5;
};

/// Sends to one cold upstream within the last second, from all entries.
class send_window
{
public:
    void note(time_point now)
    {
        sends_.push_back(now);
        while (now - sends_.front() >= window)
            sends_.pop_front();
        most_ = std::max(most_, sends_.size());
        ++total_;
    }
    std::size_t most() const { return most_; }
    std::size_t total() const { return total_; }

private:
    std::deque<time_point> sends_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

/// Runs the forwarding engines of all entries over the views of a simulated network. Each engine
/// has more requests than it may send.
class cold_deployment
{
public:
    explicit cold_deployment(cold_load load)
        : load_(load), random_(load.seed),
          network_(load.seed, static_cast<unsigned>(random_.below(1'000)))
    {
        auto document = sample_document();
        document->services.front().cold_requests_per_s = load.cold_requests_per_s;
        document_ = document;
        upstreams_ = sample_upstreams(cold_upstreams);
        for (auto& [name, known] : upstreams_) {
            known.region = region_name("armor");
            known.registration.slots = slot_count(1'000);
            known.cold_until = network_.now() + std::chrono::hours(1);
        }
        network_.start(load.entries);
        run_for(settle_time);
    }

    /// Restarts an entry of which nothing is lost but its state.
    void restart(std::size_t entry)
    {
        engines_.erase(entry);
        if (network_.is_running(entry))
            network_.end(entry);
        network_.restart(entry);
    }
    void stop(std::size_t entry) { network_.stop(entry); }
    void end(std::size_t entry)
    {
        engines_.erase(entry);
        network_.end(entry);
    }
    void start(unsigned count) { network_.start(count); }
    /// Cuts the entries into islands of about the same size.
    void cut(std::size_t islands)
    {
        network_.set_cut(
            [islands](std::size_t from, std::size_t to) { return from % islands != to % islands; });
    }
    void heal() { network_.heal(); }
    void forget_sends() { sends_.clear(); }
    std::size_t random_entry() { return random_.below(network_.size()); }

    void run_for(duration span)
    {
        for (time_point const until = network_.now() + span; network_.now() < until;) {
            network_.run_for(step);
            ++steps_;
            for (std::size_t entry = 0; entry < network_.size(); ++entry)
                press(entry);
        }
    }

    /// The most sends that any cold upstream got within a second.
    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        for (auto const& [name, sends] : sends_)
            most = std::max(most, sends.most());
        return most;
    }
    std::size_t total_sends() const
    {
        std::size_t total = 0;
        for (auto const& [name, sends] : sends_)
            total += sends.total();
        return total;
    }
    double limit() const { return load_.cold_requests_per_s * overshoot_factor + overshoot_slack; }

private:
    forwarding_engine& engine_of(std::size_t entry)
    {
        std::unique_ptr<forwarding_engine>& engine = engines_[entry];
        if (engine)
            return *engine;
        forwarding_options options{.instance = network_.name_of(entry),
                                   .place = place_name("p"),
                                   .region = region_name("armor"),
                                   .cold_sender = {.view_settle_time = view_settle_time}};
        engine = std::make_unique<forwarding_engine>(std::move(options), random_);
        engine->update_entries(network_.live_entries(entry));
        engine->update_document(document_, network_.now());
        engine->update_upstreams(upstreams_, network_.now());
        return *engine;
    }

    /// Offers the entry's engine requests until it sends no more.
    void press(std::size_t entry)
    {
        if (!network_.is_running(entry)) {
            engines_.erase(entry);
            return;
        }
        time_point const now = network_.now();
        forwarding_engine& engine = engine_of(entry);
        if ((steps_ + entry) % steps_between_views == 0)
            engine.update_entries(network_.live_entries(entry));
        while (send_one(engine, now)) {
        }
    }

    bool send_one(forwarding_engine& engine, time_point now)
    {
        request_id const id(++last_request_);
        auto const commands = engine.submit({.id = id,
                                             .caller_id = "c",
                                             .host = "h",
                                             .path = "/read/x",
                                             .time_left = std::chrono::milliseconds(1)},
                                            now);
        bool sent = false;
        for (forwarding_command const& each : commands) {
            auto const* const send = std::get_if<send_request>(&each);
            if (send == nullptr)
                continue;
            sent = true;
            sends_[send->upstream].note(now);
        }
        if (sent)
            engine.handle_send_end(id, {.result = send_result::answered, .status = 200}, now);
        else
            engine.handle_caller_disconnect(id, now);
        return sent;
    }

    cold_load load_;
    random_source random_;
    member_network network_;
    std::shared_ptr<routing_document const> document_;
    std::map<upstream_name, known_upstream> upstreams_;
    std::map<std::size_t, std::unique_ptr<forwarding_engine>> engines_;
    std::map<upstream_name, send_window> sends_;
    std::uint64_t last_request_ = 0;
    std::uint64_t steps_ = 0;
};

constexpr cold_load loads[] = {{1, 17, 5}, {2, 18, 5}, {3, 33, 9}, {4, 72, 5}};
constexpr cold_load large_load{5, 300, 5};

/// Plays the disruption. Prints the seed, so that it can be repeated.
template <class Disruption>
void check(char const* name, cold_load const& load, Disruption const& disruption,
           bool counts_start = false)
{
    cold_deployment deployment(load);
    if (!counts_start)
        deployment.forget_sends();
    disruption(deployment, load);
    deployment.run_for(settle_time);
    std::string const shown = fmt::format(
        "{}: seed {}, {} entries, {} a second: at most {} sends in a second of {} allowed, {} "
        "sends",
        name, load.seed, load.entries, load.cold_requests_per_s, deployment.most_in_a_second(),
        deployment.limit(), deployment.total_sends());
    UT_PRINT(shown.c_str());
    CHECK_TEXT(static_cast<double>(deployment.most_in_a_second()) <= deployment.limit(),
               shown.c_str());
    CHECK_TEXT(deployment.total_sends() > 0, shown.c_str());
}

/// Plays the disruption on deployments of several sizes.
template <class Disruption>
void check_each_size(char const* name, Disruption const& disruption)
{
    for (cold_load const& load : loads)
        check(name, load, disruption);
}

constexpr unsigned disruptions_of_a_run = 12;

} // namespace

TEST_GROUP(cold_sends){};

// Guards against entries that have just started and take themselves for the only one.
TEST(cold_sends, stay_in_the_limit_while_entries_restart_in_series)
{
    check_each_size("restarts", [](cold_deployment& deployment, cold_load const&) {
        for (unsigned i = 0; i < disruptions_of_a_run; ++i) {
            deployment.restart(deployment.random_entry());
            deployment.run_for(std::chrono::milliseconds(400));
        }
    });
}

// Guards against a start of all entries at once, each of which knows none of the others.
TEST(cold_sends, stay_in_the_limit_while_half_of_the_entries_restart_at_once)
{
    check_each_size("half restarts", [](cold_deployment& deployment, cold_load const& load) {
        for (unsigned entry = 0; entry < load.entries; entry += 2)
            deployment.restart(entry);
    });
}

// Guards against a choice of the sender that follows views which differ for a moment.
TEST(cold_sends, stay_in_the_limit_while_entries_leave_and_join)
{
    check_each_size("removals", [](cold_deployment& deployment, cold_load const&) {
        for (unsigned i = 0; i < disruptions_of_a_run; ++i) {
            deployment.stop(i);
            deployment.run_for(std::chrono::milliseconds(300));
            deployment.start(1);
            deployment.run_for(std::chrono::milliseconds(300));
        }
    });
}

// Guards against the sum over islands of entries, each of which chooses a sender of its own.
TEST(cold_sends, stay_in_the_limit_while_entries_are_cut_into_islands)
{
    check_each_size("islands", [](cold_deployment& deployment, cold_load const&) {
        deployment.cut(6);
        deployment.run_for(std::chrono::seconds(10));
        deployment.heal();
    });
}

// Guards against senders that end without notice while others take their place.
TEST(cold_sends, stay_in_the_limit_while_entries_end_without_notice)
{
    check_each_size("ends", [](cold_deployment& deployment, cold_load const& load) {
        for (unsigned entry = 0; entry < load.entries / 2; ++entry)
            deployment.end(entry);
    });
}

// Guards against views that take longer to agree the more entries there are.
TEST(cold_sends, stay_in_the_limit_in_a_large_deployment)
{
    check("large", large_load, [](cold_deployment& deployment, cold_load const&) {
        for (unsigned i = 0; i < disruptions_of_a_run; ++i) {
            deployment.restart(deployment.random_entry());
            deployment.stop(i);
            deployment.run_for(std::chrono::milliseconds(400));
        }
    });
}

// Guards against a start of the whole deployment, in which no entry knows another.
TEST(cold_sends, stay_in_the_limit_while_all_entries_start)
{
    for (cold_load const& load : loads)
        check(
            "start", load, [](cold_deployment&, cold_load const&) {}, true);
    check(
        "start", large_load, [](cold_deployment&, cold_load const&) {}, true);
}
