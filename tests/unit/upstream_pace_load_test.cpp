// Plays upstreams of several kinds that join four entries and four sound upstreams under load, and
// compares what callers get with the pace, without one, and with limits that rise with time alone.
#include "libraries/forwarding/forwarding_engine.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr unsigned entries = 4;
constexpr unsigned sound_upstreams = 4;
constexpr unsigned slots = 8;
constexpr double work_ms = 80;
constexpr duration joins_after = std::chrono::seconds(5);
constexpr duration counted_time = std::chrono::seconds(12);
constexpr duration report_delay = std::chrono::milliseconds(10);
constexpr duration objective = std::chrono::milliseconds(300);
/// Shares are counted over this time.
constexpr duration share_window = std::chrono::milliseconds(500);
constexpr double carried_fraction = 0.7;

/// What an upstream does with a request that begins now.
struct upstream_reaction
{
    double slowness = 1;
    bool breaks = false; ///< It breaks off this and all requests under way.
};

/// A kind of upstream: reacts by the time since its start and by the requests under way.
struct upstream_kind
{
    std::string name;
    std::function<upstream_reaction(double age_s, unsigned under_way)> react;
    duration reported_cold{}; ///< For how long it says that it is cold.
};

/// Slow while it warms up, and more so the more it is sent.
std::function<upstream_reaction(double, unsigned)> warms_in(double seconds)
{
    return [=](double age_s, unsigned under_way) {
        double const coldness = std::max(0.0, 1 - age_s / seconds);
        return upstream_reaction{1 + coldness * under_way};
    };
}

std::vector<upstream_kind> const& kinds()
{
    static std::vector<upstream_kind> const all{
        {"sound", [](double, unsigned) { return upstream_reaction{}; }, {}},
        {"fast", [](double, unsigned) { return upstream_reaction{0.4}; }, {}},
        {"slow", [](double, unsigned) { return upstream_reaction{4}; }, {}},
        {"warms in 1 s, says so", warms_in(1), std::chrono::seconds(1)},
        {"warms in 5 s, says so", warms_in(5), std::chrono::seconds(5)},
        {"warms in 5 s, says nothing", warms_in(5), {}},
        {"warms in 30 s, says 3 s", warms_in(30), std::chrono::seconds(3)},
        {"breaks when flooded in its first 3 s",
         [](double age_s, unsigned under_way) {
             return upstream_reaction{1, age_s < 3 && under_way > 4};
         },
         {}},
        {"slow when nearly full",
         [](double, unsigned under_way) {
             return upstream_reaction{under_way > slots * 3 / 4 ? 5.0 : 1.0};
         },
         {}},
    };
    return all;
}

upstream_kind const& kind_named(std::string const& name)
{
    for (upstream_kind const& each : kinds()) {
        if (each.name == name)
            return each;
    }
    FAIL("no such kind");
    return kinds().front();
}

/// What callers got after the upstream had joined.
struct callers_outcome
{
    unsigned requests = 0;
    unsigned in_time = 0;
    unsigned late = 0;
    unsigned failed = 0;      ///< Answered by the entry with a 5xx status.
    double carries_after = 0; ///< Seconds until the upstream carried its share; 0 if never.
    unsigned most_at_once = 0;
    unsigned broken = 0; ///< Runs that the upstream broke off.
};

/// The limits that are compared.
upstream_pace_options with_pace()
{
    return {};
}
upstream_pace_options without_pace()
{
    return {.max_duration = duration::zero()};
}
upstream_pace_options timed_ramp()
{
    upstream_pace_options options;
    options.max_ratio_to_service = 1'000;
    options.min_answers_of_round = 1'000'000;
    options.max_rounds_without_answer = 1;
    return options;
}

/// Four engines that report their counts to each other, and models of their upstreams.
class joining_simulation
{
public:
    joining_simulation(upstream_kind const& kind, upstream_pace_options const& pace, double rate)
        : kind_(kind), rate_(rate)
    {
        for (unsigned i = 0; i < entries; ++i)
            start_engine(i, pace);
    }

    callers_outcome run()
    {
        time_point const start = now_;
        time_point next_arrival = now_;
        while (now_ < start + joins_after + counted_time) {
            now_ += ms(1);
            if (!joined_at_ && now_ >= start + joins_after)
                join();
            while (next_arrival <= now_) {
                submit();
                next_arrival += std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(arrivals_random_.exponential(1 / rate_)));
            }
            end_work();
            for (unsigned i = 0; i < entries; ++i)
                execute(i, engines_[i]->tick(now_));
            exchange_reports();
            count_shares();
        }
        return outcome_;
    }

private:
    struct modelled_request
    {
        time_point arrived;
        unsigned entry = 0;
        bool counted = false;
    };
    struct modelled_work
    {
        request_id id;
        upstream_name upstream;
        bool breaks = false;
    };
    struct report_under_way
    {
        time_point arrives_at;
        wire::slot_report report;
    };

    static upstream_name joining()
    {
        return upstream_name("u" + std::to_string(sound_upstreams + 1));
    }

    void start_engine(unsigned index, upstream_pace_options const& pace)
    {
        forwarding_options options{.instance = instance_name("e" + std::to_string(index)),
                                   .place = place_name("p"),
                                   .region = region_name("r")};
        options.tracker_options.pace = pace;
        engines_.push_back(std::make_unique<forwarding_engine>(std::move(options), engine_random_));
        std::map<instance_name, region_name> all;
        for (unsigned i = 0; i < entries; ++i)
            all.emplace(instance_name("e" + std::to_string(i)), region_name("r"));
        engines_.back()->update_entries(all);
        engines_.back()->update_document(sample_document(), now_);
        engines_.back()->update_upstreams(upstreams(sound_upstreams), now_);
    }

    std::map<upstream_name, known_upstream> upstreams(unsigned count) const
    {
        auto all = sample_upstreams(count);
        for (auto& [name, known] : all) {
            known.registration.slots = slot_count(slots);
            if (name == joining())
                known.cold_until = now_ + kind_.reported_cold;
        }
        return all;
    }

    void join()
    {
        joined_at_ = now_;
        window_end_ = now_ + share_window;
        for (unsigned i = 0; i < entries; ++i)
            execute(i, engines_[i]->update_upstreams(upstreams(sound_upstreams + 1), now_));
    }

    void submit()
    {
        request_id const id(++last_request_id_);
        unsigned const entry = static_cast<unsigned>(arrivals_random_.below(entries));
        requests_[id] = {.arrived = now_, .entry = entry, .counted = joined_at_.has_value()};
        outcome_.requests += joined_at_ ? 1 : 0;
        execute(entry, engines_[entry]->submit({.id = id,
                                                .caller_id = "c",
                                                .host = "h",
                                                .path = "/read/x",
                                                .time_left = std::chrono::seconds(2)},
                                               now_));
    }

    void execute(unsigned entry, forwarding_engine::commands const& commands)
    {
        for (forwarding_command const& each : commands) {
            if (auto const* const send = std::get_if<send_request>(&each))
                start_work(*send);
            else if (auto const* const answer = std::get_if<deliver_answer>(&each))
                record_answer(answer->id);
            else if (auto const* const refused = std::get_if<refuse_request>(&each))
                outcome_.failed += requests_[refused->id].counted ? 1 : 0;
            else if (auto const* const cancelled = std::get_if<cancel_request_send>(&each))
                cancel(cancelled->id);
            else if (auto const* const probe = std::get_if<probe_upstream>(&each))
                probes_.push_back({entry, probe->upstream});
        }
        for (auto const& [at, upstream] : std::exchange(probes_, {}))
            execute(at, engines_[at]->handle_probe_report(
                            upstream, {}, {.healthy = true, .cold_left = {}, .load = {}}, now_));
    }

    void start_work(send_request const& send)
    {
        upstream_reaction reaction;
        unsigned& under_way = under_way_[send.upstream];
        ++under_way;
        if (send.upstream == joining()) {
            double const age_s = std::chrono::duration<double>(now_ - *joined_at_).count();
            reaction = kind_.react(age_s, under_way);
            outcome_.most_at_once = std::max(outcome_.most_at_once, under_way);
        }
        double const spread = 0.7 + 0.6 * work_random_.uniform_fraction();
        auto const work = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(work_ms * spread * reaction.slowness));
        work_.emplace(now_ + (reaction.breaks ? ms(5) : work),
                      modelled_work{send.id, send.upstream, reaction.breaks});
    }

    void cancel(request_id id)
    {
        for (auto each = work_.begin(); each != work_.end(); ++each) {
            if (each->second.id != id)
                continue;
            --under_way_[each->second.upstream];
            work_.erase(each);
            return;
        }
    }

    void end_work()
    {
        while (!work_.empty() && work_.begin()->first <= now_) {
            modelled_work const ended = work_.begin()->second;
            work_.erase(work_.begin());
            --under_way_[ended.upstream];
            ++answers_in_window_[ended.upstream];
            unsigned const entry = requests_[ended.id].entry;
            outcome_.broken += ended.breaks ? 1 : 0;
            send_end_report const report{.result = ended.breaks ? send_result::broken
                                                                : send_result::answered,
                                         .status = ended.breaks ? 0 : 200};
            execute(entry, engines_[entry]->handle_send_end(ended.id, report, now_));
        }
    }

    void exchange_reports()
    {
        for (unsigned i = 0; i < entries; ++i) {
            if (!engines_[i]->has_changed_counts())
                continue;
            wire::slot_report report{.instance = wire::name_text("e" + std::to_string(i)),
                                     .incarnation = 1,
                                     .number = ++report_number_};
            for (wire::upstream_request_count const& each : engines_[i]->take_changed_counts())
                report.counts.add(each);
            reports_.push_back({now_ + report_delay, report});
        }
        while (!reports_.empty() && reports_.front().arrives_at <= now_) {
            report_under_way const arrived = reports_.front();
            reports_.erase(reports_.begin());
            for (unsigned i = 0; i < entries; ++i) {
                if (arrived.report.instance.get() != "e" + std::to_string(i))
                    execute(i, engines_[i]->handle_slot_report(arrived.report, now_));
            }
        }
    }

    void count_shares()
    {
        if (!joined_at_ || now_ < window_end_)
            return;
        window_end_ = now_ + share_window;
        double others = 0;
        for (auto const& [name, answers] : answers_in_window_)
            others += name == joining() ? 0 : answers;
        bool const carries =
            answers_in_window_[joining()] >= carried_fraction * others / sound_upstreams;
        if (carries && outcome_.carries_after == 0)
            outcome_.carries_after = std::chrono::duration<double>(now_ - *joined_at_).count();
        answers_in_window_.clear();
    }

    void record_answer(request_id id)
    {
        modelled_request const& request = requests_[id];
        if (request.counted)
            ++(now_ - request.arrived <= objective ? outcome_.in_time : outcome_.late);
    }

    upstream_kind const& kind_;
    double rate_;
    // Separate, so that the same requests arrive whatever the limits.
    random_source arrivals_random_{7};
    random_source work_random_{8};
    random_source engine_random_{9};
    time_point now_ = start_time();
    std::optional<time_point> joined_at_;
    time_point window_end_;
    std::vector<std::unique_ptr<forwarding_engine>> engines_;
    std::map<request_id, modelled_request> requests_;
    std::map<upstream_name, unsigned> under_way_;
    std::map<upstream_name, unsigned> answers_in_window_;
    std::multimap<time_point, modelled_work> work_;
    std::vector<report_under_way> reports_;
    std::vector<std::pair<unsigned, upstream_name>> probes_;
    std::uint64_t report_number_ = 0;
    std::uint64_t last_request_id_ = 0;
    callers_outcome outcome_;
};

/// Four sound upstreams carry 400 requests a second at most.
constexpr double moderate_rate = 280;
constexpr double high_rate = 380;

callers_outcome play(std::string const& kind, upstream_pace_options const& pace, double rate)
{
    return joining_simulation(kind_named(kind), pace, rate).run();
}

void print(std::string const& kind, char const* limits, double rate, callers_outcome const& outcome)
{
    std::string const shown = fmt::format(
        "{}, {} requests/s, {}: {} requests, {} in time, {} late, {} failed, carries its share "
        "after {} s, at most {} at once, {} runs broken",
        kind, rate, limits, outcome.requests, outcome.in_time, outcome.late, outcome.failed,
        outcome.carries_after, outcome.most_at_once, outcome.broken);
    UT_PRINT(shown.c_str());
}

unsigned not_in_time(callers_outcome const& outcome)
{
    return outcome.requests - outcome.in_time;
}

} // namespace

TEST_GROUP(upstream_pace_load){};

// Prints what callers get from each kind, and guards against a pace that serves them worse than no
// limit does.
TEST(upstream_pace_load, callers_get_no_less_in_time_than_without_a_pace)
{
    for (upstream_kind const& kind : kinds()) {
        for (double const rate : {moderate_rate, high_rate}) {
            callers_outcome const before = play(kind.name, without_pace(), rate);
            callers_outcome const timed = play(kind.name, timed_ramp(), rate);
            callers_outcome const after = play(kind.name, with_pace(), rate);
            print(kind.name, "no pace", rate, before);
            print(kind.name, "timed ramp", rate, timed);
            print(kind.name, "pace", rate, after);
            CHECK_TEXT(not_in_time(after) <= not_in_time(before) + after.requests / 100,
                       kind.name.c_str());
        }
    }
}

TEST(upstream_pace_load, sound_upstream_carries_its_share_within_two_seconds)
{
    for (double const rate : {moderate_rate, high_rate}) {
        callers_outcome const outcome = play("sound", with_pace(), rate);
        CHECK(outcome.carries_after > 0);
        CHECK(outcome.carries_after <= 2);
    }
}

TEST(upstream_pace_load, upstream_that_breaks_when_flooded_breaks_off_fewer_runs)
{
    callers_outcome const before =
        play("breaks when flooded in its first 3 s", without_pace(), high_rate);
    callers_outcome const after =
        play("breaks when flooded in its first 3 s", with_pace(), high_rate);
    CHECK(before.broken > 0);
    CHECK(after.broken <= before.broken / 2);
}

TEST(upstream_pace_load, upstream_that_hides_that_it_is_cold_answers_fewer_requests_late)
{
    for (double const rate : {moderate_rate, high_rate}) {
        callers_outcome const before = play("warms in 5 s, says nothing", without_pace(), rate);
        callers_outcome const after = play("warms in 5 s, says nothing", with_pace(), rate);
        CHECK(before.late > 0);
        CHECK(after.late < before.late);
    }
}
