/// Which entries watch which among many. All entries compute the same result from the same names.
#pragma once

#include "libraries/core/ids.hpp"

#include <cstdint>
#include <vector>

namespace burdockstep {

/// A hash ring of entries. The first watcher of an entry is its successor on the ring, so that
/// every entry is watched, and a change that each entry forwards to its watchers reaches all
/// entries. The other watchers are chosen by hash from the whole ring, so that it takes few hops.
class watch_ring
{
public:
    void rebuild(std::vector<instance_name> const& names);

    /// Returns at most `count` entries that watch the given one, its successor first.
    std::vector<instance_name> watchers_of(instance_name const& name, std::size_t count) const;
    /// Returns the first entry at or after this position, or null when the ring is empty. Valid
    /// until the next rebuild.
    instance_name const* successor(std::uint64_t position) const;
    static std::uint64_t position_of(instance_name const& name);

private:
    struct ring_point
    {
        std::uint64_t hash = 0;
        instance_name name;
    };

    std::vector<ring_point> points_; ///< Sorted by hash, then by name.
};

} // namespace burdockstep
