#include "libraries/discovery/growing_pause.hpp"

#include <algorithm>

namespace burdockstep {

duration growing_pause::next(random_source& random)
{
    duration const mean = mean_;
    mean_ = std::min(2 * mean, options_.longest);
    auto const spread = static_cast<std::uint64_t>(mean.count());
    return mean / 2 + duration(static_cast<std::int64_t>(random.below(spread)));
}

} // namespace burdockstep
