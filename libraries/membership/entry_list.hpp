/// Merges records of entries into the known list.
#pragma once

#include "libraries/membership/member_directory.hpp"

#include <vector>

namespace burdockstep {

/// What records of entries contain.
enum class entry_list_kind
{
    changes,
    whole_list,   ///< Entries that are missing from it no longer exist.
    restored_list ///< The whole list of a store that has returned from an older copy.
};

/// Returns the list after records were received. A restored list may lack records and have former
/// ones: entries that run keep the record that is known, until they write it again.
std::vector<listed_member> merge_entry_records(std::vector<member_view> const& known,
                                               std::vector<listed_member> const& received,
                                               entry_list_kind kind);

} // namespace burdockstep
