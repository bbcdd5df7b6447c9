#include "libraries/membership/leaving_upstream_tracker.hpp"

#include <algorithm>

namespace burdockstep {

bool leaving_upstream_tracker::record_leaving(upstream_name const& upstream, time_point reported_at,
                                              time_point now)
{
    if (now - reported_at >= report_retention)
        return false;
    auto const [position, is_new] = last_reports_.try_emplace(upstream, reported_at);
    position->second = std::max(position->second, reported_at);
    return is_new;
}

std::vector<upstream_name> leaving_upstream_tracker::record_leaving(wire::heartbeat const& beat,
                                                                    time_point now)
{
    std::vector<upstream_name> newly_leaving;
    for (wire::leaving_upstream const& each : beat.leaving.get()) {
        upstream_name const name(each.name.get());
        if (record_leaving(name, now - std::chrono::milliseconds(each.age_ms), now))
            newly_leaving.push_back(name);
    }
    return newly_leaving;
}

void leaving_upstream_tracker::append_to_heartbeat(wire::heartbeat& beat, time_point now)
{
    auto next = last_reports_.upper_bound(last_sent_);
    for (std::size_t sent_count = 0; sent_count < last_reports_.size() && !beat.leaving.is_full();
         ++sent_count) {
        if (next == last_reports_.end())
            next = last_reports_.begin();
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - next->second);
        beat.leaving.add(
            {.name = wire::name_text(next->first.get()),
             .age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0))});
        last_sent_ = next->first;
        ++next;
    }
}

std::vector<upstream_name> leaving_upstream_tracker::expire(time_point now)
{
    std::vector<upstream_name> expired;
    for (auto const& [upstream, reported_at] : last_reports_) {
        if (now - reported_at >= report_retention)
            expired.push_back(upstream);
    }
    for (upstream_name const& each : expired)
        last_reports_.erase(each);
    return expired;
}

} // namespace burdockstep
