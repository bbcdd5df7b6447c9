/// What the operators' configuration says of one team.
#pragma once

#include "libraries/core/ids.hpp"
#include "libraries/teams/caller_key.hpp"

#include <vector>

namespace burdockstep {

/// Limit on a team's requests, over all entries together.
struct team_quota
{
    double requests_per_s = 0; ///< 0: no limit.
    double burst = 0;          ///< Requests allowed at once, beyond the rate.

    bool is_limited() const { return requests_per_s > 0; }
    friend bool operator==(team_quota const&, team_quota const&) = default;
};

/// One team of the configuration.
struct team_settings
{
    team_name name;
    std::vector<key_digest> keys;
    unsigned urgency_rank = 0; ///< 0 is the most urgent; compared before the route's rank.
    team_quota quota;
    /// Regions in which the team's requests may be served; empty means all.
    std::vector<region_name> home_regions;
};

} // namespace burdockstep
