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
enum class distance
{
    same_place,
    same_region,
    other_region
};

/// Limits on using one upstream.
struct upstream_track_options
{
    /// A load report says nothing of the present after this time: neighbours' load changes twice a
    /// second.
    duration load_memory = std::chrono::milliseconds(300);
    /// Failures in a row after which a health answer is asked for first.
    unsigned failures_to_eject = 2;
    duration first_probe_pause = std::chrono::milliseconds(250);
    duration longest_probe_pause = std::chrono::milliseconds(2'000);
    /// An upstream that shed gets nothing for this time.
    duration shed_pause = std::chrono::milliseconds(30);
    /// Part of a cold upstream's bearable rate that is used.
    double cold_part = 0.8;
    /// Objects that an upstream is taken to remember.
    std::size_t remembered_objects = 24;
    /// Weight of one answer in the failure rate.
    double failure_weight = 0.1;
    /// Weight of one answer in the pace. Single long requests are usual.
    double pace_weight = 0.15;
    double slowest_pace = 4;
};

/// Counts this entry's sends to an upstream and keeps what its answers said.
class upstream_track
{
public:
    upstream_track(upstream_track_options const& options, known_upstream const& known,
                   distance how_far);

    /// Takes what the registry says now; the counts stay.
    void update(known_upstream const& known);

    void note_sent(std::uint64_t object);
    void note_ended(send_end_report const& report, time_point now);
    /// The send was cancelled here.
    void note_cancelled();
    void note_load(load_report const& report, time_point now);
    void note_probe(probe_report const& report, time_point now);

    /// True when a probe should be sent now.
    bool wants_probe(time_point now) const;
    void note_probe_sent() { probing_ = true; }

    /// True when it may get requests at all.
    bool is_able() const { return known_.is_usable() && !ejected_; }
    /// True when it may get a request now, slots and cold limits aside.
    bool may_send(time_point now) const { return is_able() && now >= paused_until_; }
    /// True when a cold upstream bears a further request; `cold_rate` is what it bears a second.
    bool has_cold_room(double cold_rate, time_point now);
    /// Takes the room for one request of a cold upstream.
    void spend_cold_room();

    /// Requests there, all entries together, as far as is known.
    unsigned occupancy(reported_slot_usage const& book, time_point now) const;
    double slowness(time_point now) const;
    /// True when this entry sent it work on the object lately.
    bool remembers(std::uint64_t object) const { return objects_.contains(object); }
    /// Entries of the region that come before this one when a slot is free.
    void set_entries_ahead(unsigned entries) { entries_ahead_ = entries; }
    unsigned entries_ahead() const { return entries_ahead_; }
    /// Notes that all slots are taken, or that some are free; returns for how long they have been.
    void note_full() { free_since_.reset(); }
    duration note_free(time_point now);
    /// Takes how long a send took, as a multiple of what was expected.
    void note_pace(double multiple);
    /// How long work takes there, as a multiple of what is usual in the service.
    double pace() const { return pace_; }
    double failure_rate() const { return failure_rate_; }
    bool is_cold(time_point now) const { return now < known_.cold_until; }

    known_upstream const& known() const { return known_; }
    upstream_key key() const { return key_; }
    distance how_far() const { return how_far_; }
    unsigned slots() const { return known_.registration.slots.get(); }
    unsigned own_under_way() const { return own_under_way_; }
    bool is_ejected() const { return ejected_; }

private:
    void eject(time_point now);

    upstream_track_options options_;
    known_upstream known_;
    upstream_key key_;
    distance how_far_;
    unsigned own_under_way_ = 0;
    unsigned failures_in_row_ = 0;
    double failure_rate_ = 0;
    double pace_ = 1;
    bool ejected_ = false;
    bool probing_ = false;
    duration probe_pause_{};
    time_point next_probe_;
    time_point paused_until_;
    std::optional<load_report> load_;
    unsigned sent_since_load_ = 0; ///< Own sends that the last report doesn't count.
    time_point load_at_;
    recent_objects objects_;
    unsigned entries_ahead_ = 0;
    std::optional<time_point> free_since_; ///< When this entry saw a free slot first.
    double cold_room_ = 1;
    time_point cold_room_at_;
};

} // namespace burdockstep
