/// Which objects an upstream has handled lately: work on them is shorter there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace burdockstep {

/// Keeps the objects that were used last, up to a bound.
class object_memory
{
public:
    explicit object_memory(std::size_t most) : most_(most) {}

    bool contains(std::uint64_t object) const { return places_.contains(object); }
    /// Notes that the object was used now.
    void note(std::uint64_t object);
    void clear();

private:
    std::size_t most_;
    std::list<std::uint64_t> by_use_; ///< The one that was used last comes first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

} // namespace burdockstep
