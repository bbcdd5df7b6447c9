/// Few entries read the list of entries and tell the others what changed.
#pragma once

#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <vector>

namespace burdockstep {

/// What to tell of changes of the list between two versions of the store.
wire::entries_news make_entries_update(std::uint64_t after, std::uint64_t version,
                                       std::vector<listed_member> const& changed);

/// The records that were told.
std::vector<listed_member> entries_in_update(wire::entries_news const& update);

} // namespace burdockstep
