/// How often an entry reads the registry of upstreams, and when it does so in the readers' place.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"

#include <cstddef>

namespace burdockstep {

/// Interval at which the readers read the registry: every entry must learn of a leaving upstream
/// well within the drain limit, even if one update is lost.
duration registry_reader_interval(duration drain_limit);

/// Time without an update after which an entry reads the registry itself and sends what changed to
/// all others, as the readers do. It differs at random, the more so the more entries there are: the
/// update of the first one arrives at the others before most of them have read as well.
duration registry_update_timeout(duration drain_limit, std::size_t entries, random_source& random);

} // namespace burdockstep
