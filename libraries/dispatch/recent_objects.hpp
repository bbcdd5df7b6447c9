/// Tracks which objects an upstream has handled recently, and so can serve faster.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace burdockstep {

/// A set of objects of limited size. When it is full, the least recently used one is evicted.
class recent_objects
{
public:
    explicit recent_objects(std::size_t capacity) : capacity_(capacity) {}

    bool contains(std::uint64_t object) const { return positions_.contains(object); }
    /// Marks the object as the most recently used one. 0 means no object and is ignored.
    void note(std::uint64_t object);
    void clear();

private:
    std::size_t capacity_;
    std::list<std::uint64_t> by_recency_; ///< Most recently used first.
    /// Position of each object in `by_recency_`.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace burdockstep
