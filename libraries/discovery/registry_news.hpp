/// Few entries read the registry and tell the others what changed.
#pragma once

#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <vector>

namespace burdockstep {

/// True when this entry reads the registry for the others: the two live entries with the highest
/// hash do, the second one from another place than the first where there is one. Every entry works
/// it out from its own view; where views differ a third one reads too, which does no harm.
bool reads_for_others(instance_name const& self, std::vector<member_view> const& members);

/// The changes that say something new to whoever knows what `registry` knows. Where an upstream
/// changed more than once only its last state counts: an earlier one would undo it elsewhere.
std::vector<registration_change> worth_telling(upstream_registry const& registry,
                                               std::vector<registration_change> const& changes);

/// What to tell of changes between two versions of the store.
wire::registry_news make_news(std::uint64_t after, std::uint64_t version,
                              std::vector<registration_change> const& changes);

/// The changes that were told.
std::vector<registration_change> changes_of(wire::registry_news const& news);

} // namespace burdockstep
