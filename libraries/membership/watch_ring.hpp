/// Who watches whom among many entries, computed alike by all from the same names.
#pragma once

#include "libraries/core/ids.hpp"

#include <cstdint>
#include <vector>

namespace burdockstep {

/// A hash ring. The first watcher of an entry is its successor, so that everybody is watched and a
/// change that each tells its watchers reaches all; the others stand at hashed points, so that it
/// takes few hops.
class watch_ring
{
public:
    void rebuild(std::vector<instance_name> const& names);

    /// At most `count` entries that watch the given one, the successor first.
    std::vector<instance_name> watchers_of(instance_name const& name, std::size_t count) const;

private:
    struct ring_point
    {
        std::uint64_t hash = 0;
        instance_name name;
    };

    std::vector<ring_point> points_; ///< Sorted.
};

} // namespace burdockstep
