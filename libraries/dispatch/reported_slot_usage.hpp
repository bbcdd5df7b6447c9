/// Tracks how many requests other entries have in progress at upstreams that this entry also uses.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace burdockstep {

/// Fixed-size identifier of an upstream in reports between entries.
using upstream_key = strong_type<std::uint32_t, struct upstream_key_tag>;

/// Returns the key of an upstream, which is a hash of its name.
upstream_key key_of(upstream_name const& name);

/// Stores the latest counts reported by each other entry, and their sums per upstream. Reports
/// contain absolute counts, so a later report makes up for a lost one.
class reported_slot_usage
{
public:
    /// Stores the counts of a report. Returns the upstreams at which the sender now has fewer
    /// requests in progress than before. Drops the report if its number isn't greater than that of
    /// the last report of the same incarnation.
    std::vector<upstream_key> apply_report(wire::slot_report const& report, time_point now);
    /// Stores the counts under another name than that of the entry that sent them.
    std::vector<upstream_key> apply_report(instance_name const& stored_as,
                                           wire::slot_report const& report, time_point now);
    /// Drops the counts of an entry that no longer exists.
    void forget(instance_name const& entry);
    /// Drops the counts of entries that have sent no report for longer than `lifetime`.
    void expire(time_point now, duration lifetime);

    /// Number of requests that all other entries together have in progress at an upstream.
    unsigned under_way(upstream_key upstream) const;
    /// Number of requests that all other entries together have in progress, by upstream.
    std::unordered_map<upstream_key, unsigned> const& totals() const { return totals_; }
    /// Mean time since the last report of each entry; zero if there is none.
    duration mean_report_age(time_point now) const;
    /// Number of other entries whose counts are stored.
    std::size_t entry_count() const { return entries_.size(); }

private:
    /// Latest counts reported by one entry.
    struct entry_counts
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0; ///< Sequence number of the last report of this incarnation.
        time_point received_at;
        std::unordered_map<upstream_key, unsigned> counts; ///< Requests in progress; never 0.
    };

    /// Returns true if the count is lower than before.
    bool set_count(entry_counts& entry, upstream_key upstream, unsigned count);
    void clear_counts(entry_counts& entry);

    std::map<instance_name, entry_counts> entries_;
    std::unordered_map<upstream_key, unsigned> totals_; ///< Sums over all other entries.
};

} // namespace burdockstep
