#include "libraries/dispatch/object_memory.hpp"

namespace burdockstep {

void object_memory::note(std::uint64_t object)
{
    if (object == 0)
        return;
    auto const found = places_.find(object);
    if (found != places_.end()) {
        by_use_.splice(by_use_.begin(), by_use_, found->second);
        return;
    }
    by_use_.push_front(object);
    places_.emplace(object, by_use_.begin());
    if (by_use_.size() <= most_)
        return;
    places_.erase(by_use_.back());
    by_use_.pop_back();
}

void object_memory::clear()
{
    by_use_.clear();
    places_.clear();
}

} // namespace burdockstep
