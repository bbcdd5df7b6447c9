/// Keys that were already reported in the log, so that each is reported once.
#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace burdockstep {

/// A bounded set of keys. When it is full, no key is new any more: so many keys mean that some
/// program keeps writing invalid data, which the reported ones show well enough.
class reported_keys
{
public:
    /// Adds a key. Returns true if it wasn't in the set and there was room.
    bool is_new(std::string const& key)
    {
        return keys_.size() < max_keys && keys_.insert(key).second;
    }
    /// Removes a key, so that it is reported again the next time.
    void forget(std::string const& key) { keys_.erase(key); }

private:
    static constexpr std::size_t max_keys = 4'096;

    std::set<std::string> keys_;
};

} // namespace burdockstep
