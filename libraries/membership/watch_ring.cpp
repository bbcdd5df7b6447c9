#include "libraries/membership/watch_ring.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>

namespace burdockstep {

void watch_ring::rebuild(std::vector<instance_name> const& names)
{
    points_.clear();
    for (instance_name const& each : names)
        points_.push_back({.hash = position_of(each), .name = each});
    std::sort(points_.begin(), points_.end(), [](ring_point const& left, ring_point const& right) {
        return left.hash != right.hash ? left.hash < right.hash : left.name < right.name;
    });
}

std::uint64_t watch_ring::position_of(instance_name const& name)
{
    return hash_of(name.get());
}

instance_name const* watch_ring::successor(std::uint64_t position) const
{
    if (points_.empty())
        return nullptr;
    auto const next = std::lower_bound(
        points_.begin(), points_.end(), position,
        [](ring_point const& each, std::uint64_t searched) { return each.hash < searched; });
    return next == points_.end() ? &points_.front().name : &next->name;
}

std::vector<instance_name> watch_ring::watchers_of(instance_name const& name,
                                                   std::size_t count) const
{
    std::vector<instance_name> watchers;
    std::size_t const watcher_count = std::min(count, points_.empty() ? 0 : points_.size() - 1);
    for (std::uint64_t watcher_index = 0; watchers.size() < watcher_count; ++watcher_index) {
        auto next = std::lower_bound(
            points_.begin(), points_.end(), hash_of(name.get(), watcher_index),
            [](ring_point const& each, std::uint64_t hash) { return each.hash < hash; });
        auto const is_taken = [&](instance_name const& candidate) {
            return candidate == name ||
                   std::find(watchers.begin(), watchers.end(), candidate) != watchers.end();
        };
        while (next == points_.end() || is_taken(next->name))
            next = next == points_.end() ? points_.begin() : std::next(next);
        watchers.push_back(next->name);
    }
    return watchers;
}

} // namespace burdockstep
