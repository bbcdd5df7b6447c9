/// Positions in the history of the platform's store.
#pragma once

#include "libraries/core/strong_type.hpp"

#include <cstdint>

namespace burdockstep {

/// Number of the store's history. It rises when the store returns from an older copy; 0 if an
/// answer doesn't state it.
using store_era = strong_type<std::uint64_t, struct store_era_tag>;
/// Version of the store's data. It increases with each transaction of an era.
using store_version = strong_type<std::uint64_t, struct store_version_tag>;

/// A version of the store within its era. Versions are given out again in a later era, so positions
/// are ordered by era first.
struct store_position
{
    store_era era;
    store_version version;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(era, version);
    }

    friend auto operator<=>(store_position const&, store_position const&) = default;
};

} // namespace burdockstep
