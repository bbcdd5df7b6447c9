/// Selects the entries whose addresses a caller gets.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/random.hpp"
#include "libraries/membership/member_directory.hpp"

#include <vector>

namespace burdockstep {

/// The caller's location, and the known state of all entries.
struct entry_choice_input
{
    place_name place;
    region_name region;
    std::vector<member_view> const& members; ///< All entries, including this one.
    instance_name self;
    bool self_is_ready = false;
    /// Whether the deployment got its first configuration only just now. Other entries may receive
    /// it some milliseconds later.
    bool deployment_just_started = false;
};

/// Largest number of addresses that a caller is given, because callers read no more.
constexpr std::size_t max_chosen_entries = 64;

/// Returns the serving entries of the caller's place, or else of its region, or else all of them,
/// in random order. Of entries with uneven capacities, the weaker ones are left out of some
/// answers; see choose_by_weight. Returns none while the deployment has just started and the
/// region's own entries are about to serve: callers sent to another region would return only when
/// their answer expires, and so move their traffic between regions twice.
std::vector<address> choose_entries(entry_choice_input const& input, random_source& random);

} // namespace burdockstep
