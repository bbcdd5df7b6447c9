/// Sample positions of the platform's store.
#pragma once

#include "libraries/core/store_position.hpp"

namespace burdockstep::testing {

/// Returns a version of the store, by default of its first history.
inline store_position at_version(std::uint64_t version, std::uint64_t era = 1)
{
    return {.era = store_era(era), .version = store_version(version)};
}

} // namespace burdockstep::testing
