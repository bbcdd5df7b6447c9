#include "libraries/dispatch/reported_slot_usage.hpp"

#include "libraries/core/digest.hpp"

namespace burdockstep {

upstream_key key_of(upstream_name const& name)
{
    return upstream_key(static_cast<std::uint32_t>(hash_of(name.get())));
}

std::vector<upstream_key> reported_slot_usage::apply_report(wire::slot_report const& report,
                                                            time_point now)
{
    return apply_report(instance_name(report.instance.get()), report, now);
}

std::vector<upstream_key> reported_slot_usage::apply_report(instance_name const& stored_as,
                                                            wire::slot_report const& report,
                                                            time_point now)
{
    std::vector<upstream_key> freed_upstreams;
    entry_counts& entry = entries_[stored_as];
    bool const incarnation_changed = entry.incarnation != report.incarnation;
    if (!incarnation_changed && report.number <= entry.number)
        return freed_upstreams;
    bool const replaces_all_counts = incarnation_changed || report.is_full_report;
    entry.incarnation = report.incarnation;
    entry.number = report.number;
    entry.received_at = now;
    std::unordered_map<upstream_key, unsigned> missing_counts;
    if (replaces_all_counts)
        missing_counts = entry.counts;
    for (wire::upstream_request_count const& each : report.counts.get()) {
        upstream_key const upstream(each.upstream);
        missing_counts.erase(upstream);
        if (set_count(entry, upstream, each.under_way))
            freed_upstreams.push_back(upstream);
    }
    for (auto const& [upstream, count] : missing_counts) {
        set_count(entry, upstream, 0);
        freed_upstreams.push_back(upstream);
    }
    return freed_upstreams;
}

bool reported_slot_usage::set_count(entry_counts& entry, upstream_key upstream, unsigned count)
{
    unsigned& recorded = entry.counts[upstream];
    unsigned& total = totals_[upstream];
    bool const is_lower = count < recorded;
    total = total - recorded + count;
    recorded = count;
    if (total == 0)
        totals_.erase(upstream);
    if (count == 0)
        entry.counts.erase(upstream);
    return is_lower;
}

void reported_slot_usage::clear_counts(entry_counts& entry)
{
    auto const counts = entry.counts;
    for (auto const& [upstream, count] : counts)
        set_count(entry, upstream, 0);
}

void reported_slot_usage::forget(instance_name const& entry)
{
    auto const found = entries_.find(entry);
    if (found == entries_.end())
        return;
    clear_counts(found->second);
    entries_.erase(found);
}

void reported_slot_usage::expire(time_point now, duration lifetime)
{
    for (auto each = entries_.begin(); each != entries_.end();) {
        auto const next = std::next(each);
        if (now - each->second.received_at > lifetime) {
            clear_counts(each->second);
            entries_.erase(each);
        }
        each = next;
    }
}

duration reported_slot_usage::mean_report_age(time_point now) const
{
    if (entries_.empty())
        return duration::zero();
    duration total{};
    for (auto const& [name, entry] : entries_)
        total += now - entry.received_at;
    return total / static_cast<std::int64_t>(entries_.size());
}

unsigned reported_slot_usage::under_way(upstream_key upstream) const
{
    auto const found = totals_.find(upstream);
    return found == totals_.end() ? 0 : found->second;
}

} // namespace burdockstep
