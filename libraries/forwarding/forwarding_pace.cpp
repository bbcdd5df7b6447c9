// Forwarding engine: the pace of upstreams that have started or come back.
#include "libraries/forwarding/forwarding_engine.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

void forwarding_engine::update_tracker(upstream_tracker& tracker, known_upstream const& known,
                                       bool is_new, time_point now)
{
    bool const has_just_started =
        is_new && now - *first_upstreams_at_ > options_.upstream_discovery_time;
    if (has_just_started)
        tracker.begin_pace(pace_reason::started, now);
    else if (!is_new)
        tracker.update(known, now);
    watch_pace(tracker);
    note_free_slots(tracker, now);
}

void forwarding_engine::note_free_slots(upstream_tracker& tracker, time_point now)
{
    if (tracker.pace().is_steady())
        return;
    if (tracker.occupancy(peer_counts_, now) < tracker.pace().limit())
        tracker.record_free(now);
}

void forwarding_engine::watch_pace(upstream_tracker const& tracker)
{
    if (tracker.has_unsteady_pace())
        paced_upstreams_.insert(tracker.known().registration.name);
}

void forwarding_engine::update_paces(time_point now)
{
    for (auto each = paced_upstreams_.begin(); each != paced_upstreams_.end();) {
        auto const found = trackers_.find(*each);
        if (found == trackers_.end()) {
            each = paced_upstreams_.erase(each);
            continue;
        }
        upstream_tracker& tracker = found->second;
        tracker.update_pace(now);
        note_free_slots(tracker, now);
        auto const change = tracker.take_pace_change();
        if (change && pace_changes_.size() < options_.max_pace_changes)
            pace_changes_.push_back({.upstream = *each, .change = *change});
        each = tracker.has_unsteady_pace() ? std::next(each) : paced_upstreams_.erase(each);
    }
}

std::size_t forwarding_engine::paced_upstreams() const
{
    return static_cast<std::size_t>(
        std::count_if(paced_upstreams_.begin(), paced_upstreams_.end(), [&](auto const& each) {
            auto const found = trackers_.find(each);
            return found != trackers_.end() && !found->second.pace().is_steady();
        }));
}

std::vector<upstream_pace_change> forwarding_engine::take_pace_changes()
{
    return std::exchange(pace_changes_, {});
}

} // namespace burdockstep
