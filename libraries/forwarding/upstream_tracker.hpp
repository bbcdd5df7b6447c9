/// What one entry knows of one upstream's load and health.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/dispatch/recent_objects.hpp"
#include "libraries/dispatch/reported_slot_usage.hpp"
#include "libraries/forwarding/forwarding_messages.hpp"

#include <optional>

namespace burdockstep {

/// How far an upstream is from this entry.
enum class upstream_proximity
{
    same_place,
    same_region,
    other_region
};

/// Limits on using one upstream.
struct upstream_tracker_options
{
    /// A load report says nothing of the present after this time: neighbours' load changes twice a
    /// second.
    duration load_report_lifetime = std::chrono::milliseconds(300);
    /// Failures in a row after which a health answer is asked for first.
    unsigned max_consecutive_failures = 2;
    duration initial_probe_interval = std::chrono::milliseconds(250);
    duration max_probe_interval = std::chrono::milliseconds(2'000);
    /// An upstream that shed gets nothing for this time.
    duration shed_backoff = std::chrono::milliseconds(30);
    /// Part of a cold upstream's bearable rate that is used.
    double cold_rate_fraction = 0.8;
    /// Objects that an upstream is taken to remember.
    std::size_t max_recent_objects = 24;
    /// Weight of one answer in the failure rate.
    double failure_rate_weight = 0.1;
    /// Weight of one answer in the pace. Single long requests are usual.
    double service_time_ratio_weight = 0.15;
    double max_service_time_ratio = 4;
};

/// Counts this entry's sends to an upstream and keeps what its answers said.
class upstream_tracker
{
public:
    upstream_tracker(upstream_tracker_options const& options, known_upstream const& known,
                     upstream_proximity proximity);

    /// Takes what the registry says now; the counts stay.
    void update(known_upstream const& known);

    void record_send(std::uint64_t object);
    void record_send_end(send_end_report const& report, time_point now);
    /// The send was cancelled here.
    void record_cancelled_send();
    void record_load(load_report const& report, time_point now);
    void record_probe(probe_report const& report, time_point now);

    /// True when a probe should be sent now.
    bool needs_probe(time_point now) const;
    void record_probe_sent() { probe_under_way_ = true; }

    /// True when it may get requests at all.
    bool is_eligible() const { return known_.is_usable() && !ejected_; }
    /// True when it may get a request now, slots and cold limits aside.
    bool may_send_now(time_point now) const { return is_eligible() && now >= paused_until_; }
    /// True when a cold upstream bears a further request; `cold_rate` is what it bears a second.
    bool has_cold_token(double cold_rate, time_point now);
    /// Takes the room for one request of a cold upstream.
    void spend_cold_token();

    /// Requests there, all entries together, as far as is known.
    unsigned occupancy(reported_slot_usage const& peer_counts, time_point now) const;
    double slowness(time_point now) const;
    /// True when this entry sent it work on the object lately.
    bool handled_recently(std::uint64_t object) const { return recent_objects_.contains(object); }
    /// Entries of the region that come before this one when a slot is free.
    void set_entries_ahead(unsigned entries) { entries_ahead_ = entries; }
    unsigned entries_ahead() const { return entries_ahead_; }
    /// Notes that all slots are taken, or that some are free; returns for how long they have been.
    void record_full() { free_since_.reset(); }
    duration record_free(time_point now);
    /// Takes how long a send took, as a multiple of what was expected.
    void record_service_time_ratio(double ratio);
    /// How long work takes there, as a multiple of what is usual in the service.
    double service_time_ratio() const { return service_time_ratio_; }
    double failure_rate() const { return failure_rate_; }
    bool is_cold(time_point now) const { return now < known_.cold_until; }

    known_upstream const& known() const { return known_; }
    upstream_key key() const { return key_; }
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
    time_point paused_until_;
    std::optional<load_report> last_load_;
    unsigned sends_since_load_ = 0; ///< Own sends that the last report doesn't count.
    time_point last_load_at_;
    recent_objects recent_objects_;
    unsigned entries_ahead_ = 0;
    std::optional<time_point> free_since_; ///< When this entry saw a free slot first.
    double cold_tokens_ = 1;
    time_point cold_tokens_updated_at_;
};

} // namespace burdockstep
