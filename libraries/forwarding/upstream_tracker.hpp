/// Tracks the load and health of one upstream, as this entry sees them.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/dispatch/recent_objects.hpp"
#include "libraries/dispatch/reported_slot_usage.hpp"
#include "libraries/forwarding/forwarding_messages.hpp"
#include "libraries/forwarding/upstream_pace.hpp"

#include <optional>

namespace burdockstep {

/// Whether an upstream is in the same place or region as this entry.
enum class upstream_proximity
{
    same_place,
    same_region,
    other_region
};

constexpr std::size_t upstream_proximity_count =
    static_cast<std::size_t>(upstream_proximity::other_region) + 1;

/// Parameters for tracking one upstream.
struct upstream_tracker_options
{
    /// Age at which a load report is ignored. The load that neighbours cause changes twice a
    /// second, so an older report says nothing about the present.
    duration load_report_lifetime = std::chrono::milliseconds(300);
    /// Consecutive broken sends after which the upstream is ejected until a health probe succeeds.
    unsigned max_consecutive_failures = 2;
    duration initial_probe_interval = std::chrono::milliseconds(250);
    duration max_probe_interval = std::chrono::milliseconds(2'000);
    /// An upstream that shed a request gets no requests for this time.
    duration shed_backoff = std::chrono::milliseconds(30);
    /// Fraction of a cold upstream's sustainable request rate that is used.
    double cold_rate_fraction = 0.8;
    /// Number of most recently requested objects that an upstream is assumed to serve faster.
    std::size_t max_recent_objects = 24;
    /// Weight of one send in the moving average of the failure rate.
    double failure_rate_weight = 0.1;
    /// Weight of one answer in the moving average of the service time ratio. It is low because
    /// single long requests are common.
    double service_time_ratio_weight = 0.15;
    double max_service_time_ratio = 4;
    upstream_pace_options pace;
    /// An upstream is paced after a pause that it asked for if the pause was at least as long.
    duration min_paced_pause = std::chrono::milliseconds(500);
};

/// Counts this entry's sends to one upstream and keeps what the upstream's answers reported.
class upstream_tracker
{
public:
    upstream_tracker(upstream_tracker_options const& options, known_upstream const& known,
                     upstream_proximity proximity);

    /// Takes over the registry's current data. Requests under way stay counted; if the upstream
    /// has restarted or moved, its health and recent objects are reset.
    void update(known_upstream const& known, time_point now);

    void record_send(std::uint64_t object);
    void record_send_end(send_end_report const& report, time_point now);
    /// Records that this entry cancelled a send.
    void record_cancelled_send();
    void record_load(load_report const& report, time_point now);
    void record_probe(probe_report const& report, time_point now);

    /// Records that the upstream is leaving. Returns false if that was known.
    bool mark_leaving();
    /// Records that the upstream wants no requests for `pause` from now on. A pause never ends
    /// earlier because of a later, shorter one: answers may arrive out of order.
    void record_requested_pause(duration pause, time_point now);

    /// True if a health probe should be sent now.
    bool needs_probe(time_point now) const;
    void record_probe_sent() { probe_under_way_ = true; }
    /// Records that the probe under way has ended without a result for this incarnation.
    void record_cancelled_probe() { probe_under_way_ = false; }

    /// True if the upstream may get requests: it is usable, not ejected, and has not asked for a
    /// pause.
    bool is_eligible(time_point now) const
    {
        return known_.is_usable() && !ejected_ && now >= requested_pause_end_;
    }
    /// True if the upstream is eligible and not in back-off after shedding a request. Says nothing
    /// about slots and the rate limit of a cold upstream.
    bool may_send_now(time_point now) const { return is_eligible(now) && now >= backoff_end_; }
    /// When the pause that the upstream has asked for ends; in the past if it asked for none.
    time_point requested_pause_end() const { return requested_pause_end_; }
    /// Refills the token bucket that limits requests to a cold upstream, and returns true if it
    /// holds a token. `cold_rate` is the request rate, per second, that a cold upstream sustains.
    bool has_cold_token(double cold_rate, time_point now);
    /// Takes one token, for a request sent to a cold upstream.
    void spend_cold_token();

    /// Requests at the upstream from all entries, as far as this entry knows.
    unsigned occupancy(reported_slot_usage const& peer_counts, time_point now) const;
    /// The slowness in the upstream's last load report, or 1 if that is missing or too old.
    double slowness(time_point now) const;
    /// True if the object is among those of this entry's most recent sends to the upstream.
    bool handled_recently(std::uint64_t object) const { return recent_objects_.contains(object); }
    /// Number of entries of this region that have precedence over this one for a free slot.
    void set_entries_ahead(unsigned entries) { entries_ahead_ = entries; }
    unsigned entries_ahead() const { return entries_ahead_; }
    /// Records that all slots are occupied.
    void record_full() { free_since_.reset(); }
    /// Records that a slot is free, and returns for how long this entry has seen free slots.
    duration record_free(time_point now);
    /// Records a send's service time, as a multiple of the service's median.
    void record_service_time_ratio(double ratio, time_point sent_at, time_point now);
    /// Moving average of this upstream's service times, as multiples of the service's median.
    double service_time_ratio() const { return service_time_ratio_; }
    /// Moving average of the fraction of sends that broke or were answered with a 5xx status.
    double failure_rate() const { return failure_rate_; }
    bool is_cold(time_point now) const { return now < known_.cold_until; }

    /// Limits the upstream's requests from now on as its pace allows.
    void begin_pace(pace_reason reason, time_point now) { pace_.begin(reason, now); }
    /// Ends the pace's round, or the pace itself, if its time is over.
    void update_pace(time_point now);
    /// The most requests, of all entries, that may be under way at the upstream now.
    unsigned request_limit(time_point now);
    /// True if the pace allows no further request, though a slot may be free.
    bool is_at_pace_limit(reported_slot_usage const& peer_counts, time_point now) const;
    /// True if the pace isn't steady, will begin after a pause, or has changed.
    bool has_unsteady_pace() const
    {
        return !pace_.is_steady() || paces_after_pause_ || pace_.has_change();
    }
    std::optional<pace_change> take_pace_change() { return pace_.take_change(); }
    upstream_pace const& pace() const { return pace_; }

    known_upstream const& known() const { return known_; }
    upstream_key key() const { return key_; }
    upstream_incarnation incarnation() const { return known_.registration.incarnation(); }
    upstream_proximity proximity() const { return proximity_; }
    unsigned slots() const { return known_.registration.slots.get(); }
    unsigned own_requests_under_way() const { return own_requests_under_way_; }
    bool is_ejected() const { return ejected_; }

private:
    void eject(time_point now);

    upstream_tracker_options options_;
    known_upstream known_;
    upstream_key key_;
    upstream_proximity proximity_;
    unsigned own_requests_under_way_ = 0;
    unsigned consecutive_failures_ = 0;
    double failure_rate_ = 0;
    double service_time_ratio_ = 1;
    bool ejected_ = false;
    bool probe_under_way_ = false;
    duration probe_interval_{};
    time_point next_probe_at_;
    time_point backoff_end_;         ///< End of this entry's back-off after a shed request.
    time_point requested_pause_end_; ///< End of the pause that the upstream has asked for.
    std::optional<load_report> last_load_;
    unsigned sends_since_load_ = 0; ///< Sends of this entry after the last load report.
    time_point last_load_at_;
    recent_objects recent_objects_;
    unsigned entries_ahead_ = 0;
    /// When this entry first saw a free slot; reset when all slots are occupied.
    std::optional<time_point> free_since_;
    upstream_pace pace_;
    bool paces_after_pause_ = false; ///< The pace begins when the requested pause ends.
    double cold_tokens_ = 1;
    time_point cold_tokens_updated_at_;
};

} // namespace burdockstep
