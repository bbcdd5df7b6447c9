/// Which entries a caller is sent to.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/random.hpp"
#include "libraries/membership/member_directory.hpp"

#include <vector>

namespace burdockstep {

/// Where the caller is, and what the entries are known to be.
struct entry_choice_input
{
    place_name place;
    region_name region;
    std::vector<member_view> const& members; ///< This entry too.
    instance_name self;
    bool self_is_ready = false;
    /// The deployment has just got its first configuration: entries of other regions may have it
    /// some milliseconds later.
    bool deployment_just_started = false;
};

/// Callers read at most so many addresses.
constexpr std::size_t max_chosen_entries = 64;

/// The serving entries of the caller's place, else of its region, else all, in random order. None
/// while the region's own entries are about to serve: callers who are sent away come back only when
/// their answer has run out, and move their work between regions twice.
std::vector<address> choose_entries(entry_choice_input const& input, random_source& random);

} // namespace burdockstep
