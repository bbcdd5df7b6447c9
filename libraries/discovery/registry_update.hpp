/// Few entries read the registry and tell the others what changed.
#pragma once

#include "libraries/discovery/discovery_store.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace burdockstep {

/// True when this entry reads the registry for the others: the two live entries with the highest
/// hash do, the second one from another place than the first where there is one. Every entry works
/// it out from its own view; where views differ a third one reads too, which does no harm.
bool is_registry_reader(instance_name const& self, std::vector<member_view> const& members);

/// The changes that say something new to whoever knows what `registry` knows. Where an upstream
/// changed more than once only its last state counts: an earlier one would undo it elsewhere.
std::vector<registration_change>
significant_changes(upstream_registry const& registry,
                    std::vector<registration_change> const& changes);

/// The changes by which `snapshot`, the whole registry, differs from what `registry` knows: for
/// whoever knows the same, where the store has lost its history.
std::vector<registration_change>
snapshot_differences(upstream_registry const& registry,
                     std::vector<registration_change> const& snapshot);

/// What to tell of changes between two versions of the store, in pieces that fit a datagram. With
/// more changes than some dozens the one piece says that there is more than fits.
std::vector<wire::registry_news>
make_registry_update_pieces(std::uint64_t after, std::uint64_t version,
                            std::vector<registration_change> const& changes);

/// Changes between two versions of the store, put together from all pieces.
struct assembled_registry_update
{
    store_version after;
    store_version version;
    bool complete = true; ///< Else there was more than could be told.
    std::vector<registration_change> changes;
};

/// Puts pieces together again. Two readers' pieces may come mixed, some may be missing.
class registry_update_assembler
{
public:
    /// Takes a piece and returns the whole where it was the last that was missing.
    std::optional<assembled_registry_update> add_piece(wire::registry_news const& piece);

private:
    struct incomplete_update
    {
        std::map<std::uint8_t, std::vector<registration_change>> pieces;
        std::uint64_t last_used = 0;
    };
    using version_range = std::pair<std::uint64_t, std::uint64_t>;

    void evict_least_recently_used();

    std::map<version_range, incomplete_update> incomplete_updates_;
    std::uint64_t use_count_ = 0;
};

} // namespace burdockstep
