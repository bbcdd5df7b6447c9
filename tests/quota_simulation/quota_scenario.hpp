/// One seeded run of entries that share quotas, with failures, and the rules that it must keep.
#pragma once

#include "tests/fakes/quota_network.hpp"

#include <string>
#include <vector>

namespace burdockstep::testing {

/// What a run found.
struct quota_scenario_result
{
    std::vector<std::string> violations;
    bool is_calm = false;
    double admitted_part = 1;   ///< Of what one bucket for all would have admitted, of all teams.
    double largest_excess = -1; ///< Relative to the tolerance: 1 reaches it.
    std::uint64_t admitted = 0;
    std::uint64_t undecided = 0;
};

/// Runs 2 to 300 entries for some 20 seconds. Every fourth seed has no failures.
quota_scenario_result run_quota_scenario(std::uint64_t seed);

/// Datagrams of an entry and second, in calm, with a load that grows with the entries.
double quota_datagrams_per_entry(std::size_t entries, std::uint64_t seed, bool with_hot_team);

} // namespace burdockstep::testing
