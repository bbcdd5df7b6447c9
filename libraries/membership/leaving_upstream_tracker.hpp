/// The upstreams that are leaving, and how entries report them to each other.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/wire/messages.hpp"

#include <map>
#include <vector>

namespace burdockstep {

/// A report that one incarnation of an upstream is leaving.
struct leaving_report
{
    upstream_name upstream;
    upstream_incarnation incarnation; ///< 0 if unknown.
    time_point reported_at;
};

/// Keeps the last report that each upstream is leaving. Reports come from the platform's list, from
/// the upstream's own answers, and from peers; the first one takes effect at once. A report is sent
/// on to peers for as long as it is kept, so that an entry that was stopped or restarted receives
/// it too.
class leaving_upstream_tracker
{
public:
    /// An upstream without a new report for this long may receive requests again; the next request
    /// then shows whether it accepts them.
    static constexpr duration report_retention = std::chrono::seconds(30);

    /// Records a report, unless it is older than `report_retention`, about an earlier incarnation
    /// than the recorded one, or its upstream's name is too long for a heartbeat. Returns true when
    /// this incarnation wasn't known to be leaving.
    bool record_leaving(leaving_report const& report, time_point now);
    /// Records the reports in a peer's heartbeat. Returns those that are new here.
    std::vector<leaving_report> record_leaving(wire::heartbeat const& beat, time_point now);
    /// Appends as many reports as fit to a heartbeat, in turn, so that successive heartbeats carry
    /// all of them.
    void append_to_heartbeat(wire::heartbeat& beat, time_point now);
    /// Removes the upstreams whose last report is older than `report_retention` and returns them.
    std::vector<upstream_name> expire(time_point now);

    /// Leaving upstreams with their last report.
    std::map<upstream_name, leaving_report> const& last_reports() const { return last_reports_; }

private:
    std::map<upstream_name, leaving_report> last_reports_;
    upstream_name last_sent_;
};

} // namespace burdockstep
