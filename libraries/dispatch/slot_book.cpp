#include "libraries/dispatch/slot_book.hpp"

#include "libraries/core/digest.hpp"

namespace burdockstep {

upstream_key key_of(upstream_name const& name)
{
    return upstream_key(static_cast<std::uint32_t>(hash_of(name.get())));
}

std::vector<upstream_key> slot_book::take(wire::slot_report const& report, time_point now)
{
    std::vector<upstream_key> freed;
    told& entry = entries_[instance_name(report.instance.get())];
    bool const other_run = entry.incarnation != report.incarnation;
    if (!other_run && report.number <= entry.number)
        return freed;
    auto const before = entry.counts;
    if (other_run || report.whole)
        clear_counts(entry);
    entry.incarnation = report.incarnation;
    entry.number = report.number;
    entry.at = now;
    for (wire::slot_count_entry const& each : report.counts.get())
        set_count(entry, upstream_key(each.upstream), each.under_way);
    for (auto const& [upstream, count] : before) {
        auto const found = entry.counts.find(upstream);
        if (found == entry.counts.end() || found->second < count)
            freed.push_back(upstream);
    }
    return freed;
}

void slot_book::set_count(told& entry, upstream_key upstream, unsigned count)
{
    unsigned& kept = entry.counts[upstream];
    unsigned& total = totals_[upstream];
    total = total - kept + count;
    kept = count;
    if (total == 0)
        totals_.erase(upstream);
    if (count == 0)
        entry.counts.erase(upstream);
}

void slot_book::clear_counts(told& entry)
{
    auto const counts = entry.counts;
    for (auto const& [upstream, count] : counts)
        set_count(entry, upstream, 0);
}

void slot_book::forget(instance_name const& entry)
{
    auto const found = entries_.find(entry);
    if (found == entries_.end())
        return;
    clear_counts(found->second);
    entries_.erase(found);
}

void slot_book::expire(time_point now, duration lifetime)
{
    for (auto each = entries_.begin(); each != entries_.end();) {
        auto const next = std::next(each);
        if (now - each->second.at > lifetime) {
            clear_counts(each->second);
            entries_.erase(each);
        }
        each = next;
    }
}

unsigned slot_book::under_way(upstream_key upstream) const
{
    auto const found = totals_.find(upstream);
    return found == totals_.end() ? 0 : found->second;
}

} // namespace burdockstep
