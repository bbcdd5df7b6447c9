#include "libraries/dispatch/recent_objects.hpp"

namespace burdockstep {

void recent_objects::note(std::uint64_t object)
{
    if (object == 0)
        return;
    auto const found = positions_.find(object);
    if (found != positions_.end()) {
        by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
        return;
    }
    by_recency_.push_front(object);
    positions_.emplace(object, by_recency_.begin());
    if (by_recency_.size() <= capacity_)
        return;
    positions_.erase(by_recency_.back());
    by_recency_.pop_back();
}

void recent_objects::clear()
{
    by_recency_.clear();
    positions_.clear();
}

} // namespace burdockstep
