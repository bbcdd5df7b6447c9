/// Updates of the list of entries: the few entries that read it send its changes to the others.
#pragma once

#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <vector>

namespace burdockstep {

/// Makes the update that carries the records in `changed`, written after store position `after` and
/// up to `up_to`. When they don't all fit, the update is marked incomplete, and its receivers
/// must read the list from the store.
wire::entries_update_message make_entries_update(store_position after, store_position up_to,
                                                 std::vector<listed_member> const& changed);

/// Returns the records that an update carries.
std::vector<listed_member> entries_in_update(wire::entries_update_message const& update);

} // namespace burdockstep
