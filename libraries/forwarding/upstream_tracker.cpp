#include "libraries/forwarding/upstream_tracker.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

constexpr int first_server_error_status = 500;

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

upstream_tracker::upstream_tracker(upstream_tracker_options const& options,
                                   known_upstream const& known, upstream_proximity proximity)
    : options_(options), known_(known), key_(key_of(known.registration.name)),
      proximity_(proximity), probe_interval_(options.initial_probe_interval),
      recent_objects_(options.max_recent_objects),
      pace_(options.pace, known.registration.slots.get())
{}

void upstream_tracker::update(known_upstream const& known, time_point now)
{
    bool const became_cold = now < known.cold_until && !is_cold(now);
    bool const is_back_from_evacuation = known_.evacuated && !known.evacuated;
    bool const restarted = known.registration.started_ms != known_.registration.started_ms ||
                           known.registration.at != known_.registration.at;
    // A leaving mark made here may be newer than the registry's state.
    bool const was_leaving = known_.draining;
    known_ = known;
    pace_.set_slots(slots());
    if (is_back_from_evacuation)
        pace_.begin(pace_reason::evacuation, now);
    else if (became_cold && !restarted)
        pace_.begin(pace_reason::became_cold, now);
    if (!restarted) {
        known_.draining = known_.draining || was_leaving;
        return;
    }
    backoff_end_ = {};
    requested_pause_end_ = {};
    recent_objects_.clear();
    ejected_ = false;
    consecutive_failures_ = 0;
    failure_rate_ = 0;
    service_time_ratio_ = 1;
    probe_interval_ = options_.initial_probe_interval;
    paces_after_pause_ = false;
    pace_.begin(pace_reason::started, now);
}

void upstream_tracker::record_send(std::uint64_t object)
{
    recent_objects_.note(object);
    ++own_requests_under_way_;
    ++sends_since_load_;
}

void upstream_tracker::record_service_time_ratio(double ratio, time_point sent_at, time_point now)
{
    double const bounded_ratio = std::min(ratio, options_.max_service_time_ratio);
    service_time_ratio_ +=
        options_.service_time_ratio_weight * (bounded_ratio - service_time_ratio_);
    pace_.record_answer(std::max(bounded_ratio, slowness(now)), sent_at, now);
    pace_.record_average_ratio(service_time_ratio_, now);
}

void upstream_tracker::update_pace(time_point now)
{
    if (paces_after_pause_ && now >= requested_pause_end_) {
        paces_after_pause_ = false;
        pace_.begin(pace_reason::pause_ended, now);
    }
    pace_.set_cold(is_cold(now));
    pace_.update(own_requests_under_way_, now);
}

unsigned upstream_tracker::request_limit(time_point now)
{
    if (has_unsteady_pace())
        update_pace(now);
    return pace_.limit();
}

bool upstream_tracker::is_at_pace_limit(reported_slot_usage const& peer_counts,
                                        time_point now) const
{
    return !pace_.is_steady() && occupancy(peer_counts, now) >= pace_.limit();
}

void upstream_tracker::record_cancelled_send()
{
    own_requests_under_way_ -= std::min(own_requests_under_way_, 1U);
}

void upstream_tracker::record_send_end(send_end_report const& report, time_point now)
{
    record_cancelled_send();
    if (report.load)
        record_load(*report.load, now);
    bool const failed =
        report.result == send_result::broken ||
        (report.result == send_result::answered && report.status >= first_server_error_status);
    if (failed)
        pace_.record_failure(now);
    failure_rate_ += options_.failure_rate_weight * ((failed ? 1.0 : 0.0) - failure_rate_);
    switch (report.result) {
    case send_result::answered:
        consecutive_failures_ = 0;
        break;
    case send_result::shed:
        backoff_end_ = now + options_.shed_backoff;
        pace_.record_shed(now);
        break;
    case send_result::other_instance:
    case send_result::not_permitted:
    case send_result::no_room_here:
        break;
    case send_result::not_connected:
        eject(now);
        break;
    case send_result::broken:
        if (++consecutive_failures_ >= options_.max_consecutive_failures)
            eject(now);
        break;
    }
}

void upstream_tracker::eject(time_point now)
{
    if (ejected_)
        return;
    ejected_ = true;
    probe_interval_ = options_.initial_probe_interval;
    next_probe_at_ = now + probe_interval_;
}

bool upstream_tracker::mark_leaving()
{
    return !std::exchange(known_.draining, true);
}

void upstream_tracker::record_requested_pause(duration pause, time_point now)
{
    requested_pause_end_ = std::max(requested_pause_end_, now + pause);
    paces_after_pause_ = paces_after_pause_ || pause >= options_.min_paced_pause;
}

bool upstream_tracker::needs_probe(time_point now) const
{
    return ejected_ && !probe_under_way_ && known_.is_usable() && now >= next_probe_at_ &&
           now >= requested_pause_end_;
}

void upstream_tracker::record_probe(probe_report const& report, time_point now)
{
    probe_under_way_ = false;
    if (report.load)
        record_load(*report.load, now);
    if (report.healthy) {
        if (std::exchange(ejected_, false))
            pace_.begin(pace_reason::returned, now);
        consecutive_failures_ = 0;
        return;
    }
    probe_interval_ = std::min(probe_interval_ * 2, options_.max_probe_interval);
    next_probe_at_ = now + probe_interval_;
}

void upstream_tracker::record_load(load_report const& report, time_point now)
{
    last_load_ = report;
    last_load_at_ = now;
    sends_since_load_ = 0;
}

bool upstream_tracker::has_cold_token(double cold_rate, time_point now)
{
    cold_tokens_ = std::min(1.0, cold_tokens_ + options_.cold_rate_fraction * cold_rate *
                                                    in_seconds(now - cold_tokens_updated_at_));
    cold_tokens_updated_at_ = now;
    return cold_tokens_ >= 1.0;
}

duration upstream_tracker::record_free(time_point now)
{
    if (!free_since_)
        free_since_ = now;
    return now - *free_since_;
}

void upstream_tracker::spend_cold_token()
{
    cold_tokens_ -= 1.0;
}

unsigned upstream_tracker::occupancy(reported_slot_usage const& peer_counts, time_point now) const
{
    unsigned const counted_requests = own_requests_under_way_ + peer_counts.under_way(key_);
    if (!last_load_ || now - last_load_at_ > options_.load_report_lifetime)
        return counted_requests;
    // The load report also counts requests of entries whose slot reports don't reach this one.
    return std::max(counted_requests,
                    last_load_->running + last_load_->waiting + sends_since_load_);
}

double upstream_tracker::slowness(time_point now) const
{
    if (!last_load_ || now - last_load_at_ > options_.load_report_lifetime)
        return 1.0;
    return last_load_->slowness;
}

} // namespace burdockstep
