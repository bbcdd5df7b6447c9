/// Rendezvous hashing of objects.
#pragma once

#include "libraries/dispatch/reported_slot_usage.hpp"

#include <cstdint>

namespace burdockstep {

/// Hashes an object together with a key to a number from 0 to 1. With upstreams as keys, the object
/// belongs to the upstream with the lowest number.
double affinity_hash(std::uint64_t object, upstream_key key);

} // namespace burdockstep
