/// Keys by which callers identify themselves.
#pragma once

#include "libraries/core/digest.hpp"
#include "libraries/core/strong_type.hpp"

#include <string_view>

namespace burdockstep {

/// Digest of a caller's key. Entries keep and compare only digests, so that no key can reach a log,
/// a metric or an error message.
using key_digest = strong_type<digest, struct key_digest_tag>;

/// Computes the first half of the key's SHA-256 digest: callers choose the bytes, so two keys with
/// the same digest must be infeasible to find.
key_digest digest_of_key(std::string_view key);

} // namespace burdockstep

template <>
struct std::hash<burdockstep::key_digest>
{
    std::size_t operator()(burdockstep::key_digest const& key) const noexcept
    {
        return static_cast<std::size_t>(key.get().low);
    }
};
