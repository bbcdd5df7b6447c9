/// The quotas of the configuration in force.
#pragma once

#include "libraries/teams/quota_shares.hpp"

#include <unordered_map>
#include <vector>

namespace burdockstep {

/// The quota of one team.
struct known_quota
{
    team_quota whole;
    team_quota of_share;
    std::uint8_t shares = 1;
    time_point known_since; ///< When this entry learned of its limit, or of its number of shares.
};

/// Finds quotas by the hashes of teams' names.
class team_quota_table
{
public:
    /// Takes over the quotas of a configuration. What doesn't change keeps its `known_since`.
    void update(std::vector<team_settings> const& teams, time_point now);
    /// The quota of a team; null if it has none.
    known_quota const* find(team_hash team) const;
    bool is_empty() const { return quotas_.empty(); }
    /// Counts the updates.
    std::uint64_t generation() const { return generation_; }

private:
    std::unordered_map<team_hash, known_quota> quotas_;
    std::uint64_t generation_ = 0;
};

} // namespace burdockstep
