/// Finds the concurrency that an upstream bears after a start or a disturbance.
#pragma once

#include "libraries/core/clock.hpp"

#include <optional>

namespace burdockstep {

/// How the concurrency limit of an upstream changes at present.
enum class pace_state
{
    steady, ///< There is no limit but the upstream's slots.
    rising, ///< The limit doubles each round until answers become slower or fail.
    careful ///< A limit was too high: from half of it on, the limit grows by one each round.
};

constexpr std::size_t pace_state_count = static_cast<std::size_t>(pace_state::careful) + 1;

/// Why the state of an upstream's pace, or its limit, has changed.
enum class pace_reason
{
    started,       ///< The upstream has started.
    became_cold,   ///< It reported that it is cold.
    returned,      ///< Back from an ejection: a health probe succeeded.
    pause_ended,   ///< Back from a pause that it had asked for.
    evacuation,    ///< Its place is no longer evacuated.
    slow,          ///< Its answers took much longer than those of its service for a while.
    slower,        ///< Its answers slowed down with the requests under way.
    shed,          ///< It rejected a request.
    failed,        ///< A request to it failed.
    carries_slots, ///< It bore as many requests as it has slots.
    expired        ///< It has been paced for the longest time.
};

/// Names in logs and metrics, such as "pause-ended".
char const* name_of(pace_state state);
char const* name_of(pace_reason reason);

/// Parameters of the pace.
struct upstream_pace_options
{
    /// The first limit is one request and this fraction of the slots.
    double first_slot_fraction = 0.125;
    /// Answers after which a limit is judged, or as many as the limit if that is more.
    unsigned min_answers_of_round = 3;
    /// A limit is judged after this time with the answers that there are, because other entries may
    /// send most of the requests. Without any answer and without a bad sign it grows: an upstream
    /// must not stay idle.
    duration max_round = std::chrono::milliseconds(250);
    /// A limit holds if the answers take at most this multiple of what the service's upstreams
    /// take, or at most `max_ratio_to_own_best` times what this upstream took in its best round
    /// since the pace began.
    double max_ratio_to_service = 1.5;
    double max_ratio_to_own_best = 1.3;
    /// Rejections and failures within this time after the limit fell belong to the earlier limit.
    duration min_fall_interval = std::chrono::milliseconds(100);
    /// While none of this entry's requests has been answered, a round lasts up to this multiple of
    /// `max_round`.
    int max_rounds_without_answer = 10;
    /// A pace ends after this time, whatever its limit.
    duration max_duration = std::chrono::seconds(30);
    /// A steady upstream is paced if its answers take at least this multiple of what the service's
    /// upstreams take, for `slow_duration`.
    double slow_ratio = 3.0;
    duration slow_duration = std::chrono::milliseconds(1'500);
    /// An upstream that was paced for being slow is paced for it again only after its answers have
    /// taken less than this multiple.
    double recovered_ratio = 2.0;
};

/// A change of the state of a pace, or of its limit back to a lower one.
struct pace_change
{
    pace_state state = pace_state::steady;
    unsigned limit = 0;
    pace_reason reason = pace_reason::started;
};

/// Limits the requests under way at one upstream, from all entries, as one entry finds it. A steady
/// upstream isn't limited.
class upstream_pace
{
public:
    upstream_pace(upstream_pace_options const& options, unsigned slots)
        : options_(options), slots_(slots)
    {}

    /// Begins at a low limit, whatever the present one is.
    void begin(pace_reason reason, time_point now);
    /// While the upstream is cold its limit rises to no more than half of its slots.
    void set_cold(bool cold) { cold_ = cold; }
    void set_slots(unsigned slots);

    /// Records an answer, of which `time_ratio` is the service time as a multiple of what the
    /// service's upstreams take for such an object. Answers to requests that were sent under an
    /// earlier limit don't count.
    void record_answer(double time_ratio, time_point sent_at, time_point now);
    void record_shed(time_point now) { fall_back(pace_reason::shed, now); }
    void record_failure(time_point now) { fall_back(pace_reason::failed, now); }
    /// Records the moving average of the ratio, by which a steady upstream is found to be slow.
    void record_average_ratio(double ratio, time_point now);
    /// Judges the present limit if its round is over. `own_under_way` is the number of requests of
    /// this entry at the upstream.
    void update(unsigned own_under_way, time_point now);

    bool is_steady() const { return state_ == pace_state::steady; }
    pace_state state() const { return state_; }
    /// The most requests that may be under way at the upstream, from all entries.
    unsigned limit() const { return is_steady() ? slots_ : limit_; }
    bool has_change() const { return change_.has_value(); }
    /// The last change that hasn't been taken yet.
    std::optional<pace_change> take_change();

private:
    unsigned first_limit() const;
    /// The highest limit at present.
    unsigned ceiling() const;
    void begin_at(unsigned limit, pace_reason reason, time_point now);
    void begin_round(time_point now);
    void end_round(time_point now);
    void rise(bool holds_to_service, time_point now);
    void fall_back(pace_reason reason, time_point now);
    void become_steady(pace_reason reason);
    void note_change(pace_reason reason);

    upstream_pace_options options_;
    unsigned slots_ = 0;
    bool cold_ = false;
    pace_state state_ = pace_state::steady;
    unsigned limit_ = 0;
    unsigned doubling_end_ = 0; ///< From this limit on it grows by one each round.
    time_point begun_at_;
    time_point round_begun_at_;
    std::optional<time_point> fell_at_;
    unsigned answers_of_round_ = 0;
    double ratios_of_round_ = 0;
    double best_ratio_ = 0; ///< Lowest mean ratio of a round; 0 if there was none.
    std::optional<time_point> slow_since_;
    bool known_as_slow_ = false;
    std::optional<pace_change> change_;
};

} // namespace burdockstep
