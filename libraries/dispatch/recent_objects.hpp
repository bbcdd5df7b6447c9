/// Which objects an upstream has handled lately: work on them is shorter there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace burdockstep {

/// Keeps the objects that were used last, up to a bound.
class recent_objects
{
public:
    explicit recent_objects(std::size_t capacity) : capacity_(capacity) {}

    bool contains(std::uint64_t object) const { return positions_.contains(object); }
    /// Notes that the object was used now.
    void note(std::uint64_t object);
    void clear();

private:
    std::size_t capacity_;
    std::list<std::uint64_t> by_recency_; ///< The one that was used last comes first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace burdockstep
