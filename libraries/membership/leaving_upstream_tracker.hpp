/// Which upstreams are leaving, and how the entries tell each other.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/wire/messages.hpp"

#include <map>
#include <vector>

namespace burdockstep {

/// Remembers the last sign that each upstream is leaving. Signs come from the platform's list, from
/// the upstream's own answers, and from peers; the first one counts at once. A sign is told on for
/// as long as it is remembered, so that an entry that was stopped or restarted learns of it too.
class leaving_upstream_tracker
{
public:
    /// After the last sign an upstream may take part again; a request then shows whether it does.
    static constexpr duration report_retention = std::chrono::seconds(30);

    /// Notes a sign seen at `reported_at`. Returns true when the upstream wasn't known to be
    /// leaving.
    bool record_leaving(upstream_name const& upstream, time_point reported_at, time_point now);
    /// Notes the signs that a peer tells. Returns the upstreams that weren't known.
    std::vector<upstream_name> record_leaving(wire::heartbeat const& beat, time_point now);
    /// Adds as many signs as fit to a heartbeat; all get their turn in successive heartbeats.
    void append_to_heartbeat(wire::heartbeat& beat, time_point now);
    /// Drops what is past memory and returns it.
    std::vector<upstream_name> expire(time_point now);

    /// Upstreams with the time of the last sign.
    std::map<upstream_name, time_point> const& last_reports() const { return last_reports_; }

private:
    std::map<upstream_name, time_point> last_reports_;
    upstream_name last_sent_;
};

} // namespace burdockstep
