#include "libraries/dispatch/place_slot_sums.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace burdockstep {

namespace {

std::uint16_t saturated(std::size_t count)
{
    return static_cast<std::uint16_t>(
        std::min<std::size_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

std::unordered_map<std::uint32_t, std::uint16_t> place_slot_sums::sums(counts const& own) const
{
    std::unordered_map<std::uint32_t, std::uint16_t> summed;
    for (auto const& [upstream, count] : reported_.totals())
        summed[upstream.get()] = saturated(count);
    for (wire::upstream_request_count const& each : own) {
        std::uint16_t& sum = summed[each.upstream];
        sum = saturated(std::size_t{sum} + each.under_way);
    }
    std::erase_if(summed, [](auto const& item) { return item.second == 0; });
    return summed;
}

place_slot_sums::counts place_slot_sums::changes_for(audience& receivers, counts const& own) const
{
    counts changed;
    auto current = sums(own);
    for (auto const& [upstream, count] : current) {
        auto const told = receivers.told_.find(upstream);
        if (told == receivers.told_.end() || told->second != count)
            changed.push_back({.upstream = upstream, .under_way = count});
    }
    for (auto const& [upstream, count] : receivers.told_) {
        if (current.contains(upstream))
            continue;
        changed.push_back({.upstream = upstream, .under_way = 0});
        receivers.became_idle_.insert(upstream);
    }
    receivers.told_ = std::move(current);
    return changed;
}

place_slot_sums::counts place_slot_sums::all_for(audience& receivers, counts const& own) const
{
    counts all;
    auto became_idle = std::exchange(receivers.became_idle_, {});
    for (auto const& [upstream, count] : receivers.told_)
        became_idle.insert(upstream);
    receivers.told_ = sums(own);
    all.reserve(receivers.told_.size());
    for (auto const& [upstream, count] : receivers.told_)
        all.push_back({.upstream = upstream, .under_way = count});
    for (std::uint32_t const upstream : became_idle) {
        if (!receivers.told_.contains(upstream))
            all.push_back({.upstream = upstream, .under_way = 0});
    }
    return all;
}

} // namespace burdockstep
