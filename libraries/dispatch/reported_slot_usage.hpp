/// What other entries have under way at the upstreams they share with this one.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace burdockstep {

/// Short name of an upstream in reports between entries.
using upstream_key = strong<std::uint32_t, struct upstream_key_tag>;

/// The key of an upstream: a hash of its name.
upstream_key key_of(upstream_name const& name);

/// Keeps the last counts that each other entry told. Reports hold absolute counts, so that a lost
/// one is made good by the next.
class reported_slot_usage
{
public:
    /// Takes a report and returns the upstreams of which its sender has fewer requests under way
    /// than before. Reports older than the last one of the same run are dropped.
    std::vector<upstream_key> apply_report(wire::slot_report const& report, time_point now);
    /// Drops what an entry told: it is gone, or has been silent for longer than `lifetime`.
    void forget(instance_name const& entry);
    void expire(time_point now, duration lifetime);

    /// Requests of all other entries at an upstream.
    unsigned under_way(upstream_key upstream) const;
    /// Other entries whose counts are known.
    std::size_t entry_count() const { return entries_.size(); }

private:
    struct entry_counts
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        time_point received_at;
        std::unordered_map<upstream_key, unsigned> counts;
    };

    void set_count(entry_counts& entry, upstream_key upstream, unsigned count);
    void clear_counts(entry_counts& entry);

    std::map<instance_name, entry_counts> entries_;
    std::unordered_map<upstream_key, unsigned> totals_;
};

} // namespace burdockstep
