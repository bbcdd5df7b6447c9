/// Which entries an entry asks for their proof of how new the directives are.
#pragma once

#include "libraries/membership/member_directory.hpp"

#include <vector>

namespace burdockstep {

/// Whom to ask, as addresses for messages of entries.
struct confirmation_sources
{
    std::vector<address> preferred; ///< In the order in which they are asked.
    std::vector<address> others;    ///< The other live entries, in no order.
    /// Entries that were heard in this run and seem lost: perhaps this one was cut off.
    std::vector<address> lost;
};

/// Chooses the entries that `self` asks: the registry readers, its own region's first. With many
/// entries some relay: they ask the readers, and every other entry first asks a relay, so that
/// the questions that one entry gets don't grow with the number of entries.
confirmation_sources choose_confirmation_sources(listed_member const& self,
                                                 std::vector<member_view> const& members);

} // namespace burdockstep
