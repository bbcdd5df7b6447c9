#include "libraries/dispatch/affinity_hash.hpp"

#include "libraries/core/digest.hpp"

#include <string_view>

namespace burdockstep {

double affinity_hash(std::uint64_t object, upstream_key key)
{
    std::uint64_t const hash_bits =
        hash_of(std::string_view(reinterpret_cast<char const*>(&object), sizeof object), key.get());
    return static_cast<double>(hash_bits >> 11U) * 0x1.0p-53;
}

} // namespace burdockstep
