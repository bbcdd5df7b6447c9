/// Updates of the registry of upstreams: the few entries that read it send its changes to the
/// others.
#pragma once

#include "libraries/discovery/discovery_store.hpp"
#include "libraries/discovery/upstream_history.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace burdockstep {

/// Returns true when this entry reads the registry for the others. The readers are the live entry
/// with the highest hash and the one with the next highest hash in another place, or in the same
/// place when no other place has a live entry. Each entry computes this from its own view of the
/// members; where the views differ, a third entry may read as well, which is harmless.
bool is_registry_reader(instance_name const& self, std::vector<member_view> const& members);

/// Returns the live entries for which `is_registry_reader` holds, in the view of this entry. At
/// most two.
std::vector<instance_name> registry_readers(instance_name const& self,
                                            std::vector<member_view> const& members);

/// Returns the changes that are significant to an entry with the same state as `registry`. When an
/// upstream changed more than once, only its latest state is kept: an earlier state sent alone
/// would revert the latest one at its receivers.
std::vector<registration_change>
significant_changes(upstream_registry const& registry,
                    std::vector<registration_change> const& changes, time_point now);

/// Returns the significant changes that lead from `registry` to `snapshot`, the content of the
/// whole registry. They are for entries with the same state as `registry` when the store no longer
/// has the history of changes.
std::vector<registration_change>
snapshot_differences(upstream_registry const& registry,
                     std::vector<registration_change> const& snapshot, time_point now);

/// Returns the names of the upstreams that these changes concern.
std::vector<upstream_name> names_of(std::vector<registration_change> const& changes);

/// Makes the update that carries the records of the upstreams that changed after store position
/// `after` and up to `up_to`, split into pieces that each fit in a datagram. When the records don't
/// fit in the largest number of pieces, a single empty piece marked as incomplete is returned, and
/// its receivers must read the registry themselves.
std::vector<wire::registry_update_message>
make_registry_update_pieces(store_position after, store_position up_to,
                            std::vector<upstream_record> const& records);

/// Splits records into messages that each fit in a datagram.
std::vector<wire::registry_records_message>
make_registry_records_messages(std::vector<upstream_record> const& records);
std::vector<upstream_record> records_in(wire::registry_records_message const& message);

/// A registry update with the records of all its pieces.
struct assembled_registry_update
{
    store_position after;
    store_position up_to;
    bool complete = true; ///< False when there were too many changes to send.
    std::uint64_t registered_digest = 0;
    std::vector<upstream_record> records;
};

/// Assembles registry updates from their pieces. The pieces of two readers may arrive interleaved,
/// and pieces may be lost.
class registry_update_assembler
{
public:
    /// Adds a piece and returns the whole update when no piece of it is missing any more.
    std::optional<assembled_registry_update> add_piece(wire::registry_update_message const& piece);

private:
    struct incomplete_update
    {
        std::map<std::uint8_t, std::vector<upstream_record>> pieces;
        std::uint64_t last_used = 0;
    };
    using position_range = std::pair<store_position, store_position>;

    void evict_least_recently_used();

    std::map<position_range, incomplete_update> incomplete_updates_;
    std::uint64_t use_count_ = 0;
};

} // namespace burdockstep
