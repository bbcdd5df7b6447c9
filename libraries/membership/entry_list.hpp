/// Merges records of entries into the known list.
#pragma once

#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <optional>
#include <vector>

namespace burdockstep {

/// What records of entries contain.
enum class entry_list_kind
{
    changes,
    whole_list,   ///< Entries that are missing from it no longer exist.
    restored_list ///< The whole list of a store that has returned from an older copy.
};

/// A list has no more entries than this, so that records without end don't end the process: as many
/// as one entry can tell another in one message, more than the largest deployment has.
constexpr std::size_t max_listed_entries = decltype(wire::state_answer::instances)::max_elements;

/// Returns the list after records were received. A restored list may lack records and have former
/// ones: entries that run keep the record that is known, until they write it again. Changes that
/// peers pass on name no capacity: the known one is kept. Records of further entries than
/// `max_listed_entries` are passed over.
std::vector<listed_member> merge_entry_records(std::vector<member_view> const& known,
                                               std::vector<listed_member> const& received,
                                               entry_list_kind kind);

/// Returns the capacities of these entries; nothing if none is known.
std::optional<wire::entry_capacities_message>
make_entry_capacities(std::vector<listed_member> const& entries);

/// Returns the list with the capacities that a peer has read. Entries that aren't listed, and
/// `self`, which knows its own, are passed over.
std::vector<listed_member> with_capacities(std::vector<listed_member> listed,
                                           wire::entry_capacities_message const& told,
                                           instance_name const& self);

} // namespace burdockstep
