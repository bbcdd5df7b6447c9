#include "libraries/membership/leaving_upstream_tracker.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Total size of the names of leaving upstreams in one heartbeat, so that it fits in a datagram.
/// One name of any size is always sent.
constexpr std::size_t max_name_bytes_per_heartbeat = 4 * wire::name_text::max_bytes;

} // namespace

bool leaving_upstream_tracker::record_leaving(leaving_report const& report, time_point now)
{
    bool const fits_in_heartbeat = report.upstream.get().size() <= wire::registry_text::max_bytes;
    if (now - report.reported_at >= report_retention || !fits_in_heartbeat)
        return false;
    auto const [position, is_new] = last_reports_.try_emplace(report.upstream, report);
    leaving_report& recorded = position->second;
    if (report.incarnation < recorded.incarnation)
        return false;
    bool const is_newer_incarnation = recorded.incarnation < report.incarnation;
    if (is_newer_incarnation)
        recorded = report;
    else
        recorded.reported_at = std::max(recorded.reported_at, report.reported_at);
    return is_new || is_newer_incarnation;
}

std::vector<leaving_report> leaving_upstream_tracker::record_leaving(wire::heartbeat const& beat,
                                                                     time_point now)
{
    std::vector<leaving_report> new_reports;
    for (wire::leaving_upstream const& each : beat.leaving.get()) {
        leaving_report const report{.upstream = upstream_name(each.name.get()),
                                    .incarnation = upstream_incarnation(each.started_ms),
                                    .reported_at = now - std::chrono::milliseconds(each.age_ms)};
        if (record_leaving(report, now))
            new_reports.push_back(report);
    }
    return new_reports;
}

void leaving_upstream_tracker::append_to_heartbeat(wire::heartbeat& beat, time_point now)
{
    auto next = last_reports_.upper_bound(last_sent_);
    std::size_t name_bytes = 0;
    for (std::size_t sent_count = 0; sent_count < last_reports_.size() && !beat.leaving.is_full();
         ++sent_count) {
        if (next == last_reports_.end())
            next = last_reports_.begin();
        leaving_report const& report = next->second;
        name_bytes += report.upstream.get().size();
        if (sent_count > 0 && name_bytes > max_name_bytes_per_heartbeat)
            return;
        auto const age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - report.reported_at);
        beat.leaving.add(
            {.name = wire::registry_text(report.upstream.get()),
             .started_ms = report.incarnation.get(),
             .age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0))});
        last_sent_ = report.upstream;
        ++next;
    }
}

std::vector<upstream_name> leaving_upstream_tracker::expire(time_point now)
{
    std::vector<upstream_name> expired;
    for (auto const& [upstream, report] : last_reports_) {
        if (now - report.reported_at >= report_retention)
            expired.push_back(upstream);
    }
    for (upstream_name const& each : expired)
        last_reports_.erase(each);
    return expired;
}

} // namespace burdockstep
