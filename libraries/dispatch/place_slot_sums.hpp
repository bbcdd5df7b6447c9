/// Sums of the requests that the entries of one place have under way, by upstream.
#pragma once

#include "libraries/dispatch/reported_slot_usage.hpp"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdockstep {

/// Kept by the relay of a place. It collects the reports of the place's other entries and finds
/// what must be told to the entries of other places.
class place_slot_sums
{
public:
    using counts = std::vector<wire::upstream_request_count>;

    /// What one group of receivers has been told.
    class audience
    {
    private:
        friend class place_slot_sums;
        std::unordered_map<std::uint32_t, std::uint16_t> told_;
        /// Upstreams that became idle since all sums were last told. Their zeros are told once
        /// more, in case a datagram was lost.
        std::unordered_set<std::uint32_t> became_idle_;
    };

    /// Applies the report of another entry of the place.
    void apply_report(wire::slot_report const& report, time_point now)
    {
        reported_.apply_report(report, now);
    }
    /// Drops the counts of entries that have sent no report for longer than `lifetime`.
    void expire(time_point now, duration lifetime) { reported_.expire(now, lifetime); }

    /// Returns the sums that have changed since the audience was last told, with zeros for
    /// upstreams that have become idle. `own` are the relay's own counts.
    counts changes_for(audience& receivers, counts const& own) const;
    /// Returns all sums that aren't zero, and zeros for the upstreams that became idle since the
    /// last call.
    counts all_for(audience& receivers, counts const& own) const;

private:
    std::unordered_map<std::uint32_t, std::uint16_t> sums(counts const& own) const;

    reported_slot_usage reported_;
};

} // namespace burdockstep
