/// Content digests and hashes.
#pragma once

#include <xxhash.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace burdockstep {

/// 128-bit non-cryptographic digest. It detects accidental differences, not forgery.
struct digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(digest const&, digest const&) = default;

    /// The digest as 32 hexadecimal digits.
    std::string text() const { return fmt::format("{:016x}{:016x}", high, low); }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(high, low);
    }
};

/// Computes the digest of `bytes`.
inline digest digest_of(std::string_view bytes)
{
    XXH128_hash_t const hash = XXH3_128bits(bytes.data(), bytes.size());
    return {.high = hash.high64, .low = hash.low64};
}

/// Computes the 64-bit hash of `bytes` with a seed.
inline std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace burdockstep
