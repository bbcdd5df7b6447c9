#include "libraries/forwarding/upstream_track.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

constexpr int first_failure_status = 500;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

upstream_track::upstream_track(upstream_track_options const& options, known_upstream const& known,
                               distance how_far)
    : options_(options), known_(known), key_(key_of(known.registration.name)), how_far_(how_far),
      probe_pause_(options.first_probe_pause), objects_(options.remembered_objects)
{}

void upstream_track::update(known_upstream const& known)
{
    bool const restarted = known.registration.started_ms != known_.registration.started_ms ||
                           known.registration.at != known_.registration.at;
    known_ = known;
    if (!restarted)
        return;
    objects_.clear();
    ejected_ = false;
    failures_in_row_ = 0;
    failure_rate_ = 0;
    pace_ = 1;
    probe_pause_ = options_.first_probe_pause;
}

void upstream_track::note_sent(std::uint64_t object)
{
    objects_.note(object);
    ++own_under_way_;
    ++sent_since_load_;
}

void upstream_track::note_pace(double multiple)
{
    pace_ += options_.pace_weight * (std::min(multiple, options_.slowest_pace) - pace_);
}

void upstream_track::note_cancelled()
{
    own_under_way_ -= std::min(own_under_way_, 1U);
}

void upstream_track::note_ended(send_end_report const& report, time_point now)
{
    note_cancelled();
    if (report.load)
        note_load(*report.load, now);
    bool const failed =
        report.result == send_result::broken ||
        (report.result == send_result::answered && report.status >= first_failure_status);
    failure_rate_ += options_.failure_weight * ((failed ? 1.0 : 0.0) - failure_rate_);
    switch (report.result) {
    case send_result::answered:
        failures_in_row_ = 0;
        break;
    case send_result::shed:
        paused_until_ = now + options_.shed_pause;
        break;
    case send_result::other_instance:
        break;
    case send_result::not_connected:
        eject(now);
        break;
    case send_result::broken:
        if (++failures_in_row_ >= options_.failures_to_eject)
            eject(now);
        break;
    }
}

void upstream_track::eject(time_point now)
{
    if (ejected_)
        return;
    ejected_ = true;
    probe_pause_ = options_.first_probe_pause;
    next_probe_ = now + probe_pause_;
}

bool upstream_track::wants_probe(time_point now) const
{
    return ejected_ && !probing_ && known_.is_usable() && now >= next_probe_;
}

void upstream_track::note_probe(probe_report const& report, time_point now)
{
    probing_ = false;
    if (report.load)
        note_load(*report.load, now);
    if (report.healthy) {
        ejected_ = false;
        failures_in_row_ = 0;
        return;
    }
    probe_pause_ = std::min(probe_pause_ * 2, options_.longest_probe_pause);
    next_probe_ = now + probe_pause_;
}

void upstream_track::note_load(load_report const& report, time_point now)
{
    load_ = report;
    load_at_ = now;
    sent_since_load_ = 0;
}

bool upstream_track::has_cold_room(double cold_rate, time_point now)
{
    cold_room_ =
        std::min(1.0, cold_room_ + options_.cold_part * cold_rate * seconds(now - cold_room_at_));
    cold_room_at_ = now;
    return cold_room_ >= 1.0;
}

duration upstream_track::note_free(time_point now)
{
    if (!free_since_)
        free_since_ = now;
    return now - *free_since_;
}

void upstream_track::spend_cold_room()
{
    cold_room_ -= 1.0;
}

unsigned upstream_track::occupancy(reported_slot_usage const& book, time_point now) const
{
    unsigned const counted = own_under_way_ + book.under_way(key_);
    if (!load_ || now - load_at_ > options_.load_memory)
        return counted;
    // The report also counts what entries sent that this one can't hear.
    return std::max(counted, load_->running + load_->waiting + sent_since_load_);
}

double upstream_track::slowness(time_point now) const
{
    if (!load_ || now - load_at_ > options_.load_memory)
        return 1.0;
    return load_->slowness;
}

} // namespace burdockstep
