#include "libraries/teams/team_quota_table.hpp"

#include <utility>

namespace burdockstep {

void team_quota_table::update(std::vector<team_settings> const& teams, time_point now)
{
    std::unordered_map<team_hash, known_quota> quotas;
    for (team_settings const& each : teams) {
        if (!each.quota.is_limited())
            continue;
        team_hash const team = hash_of_team(each.name);
        known_quota quota{.whole = each.quota,
                          .of_share = quota_of_share(each.quota),
                          .shares = share_count(each.quota),
                          .known_since = now};
        known_quota const* const former = find(team);
        if (former != nullptr && former->shares == quota.shares)
            quota.known_since = former->known_since;
        quotas.insert_or_assign(team, quota);
    }
    quotas_ = std::move(quotas);
    ++generation_;
}

known_quota const* team_quota_table::find(team_hash team) const
{
    auto const found = quotas_.find(team);
    return found == quotas_.end() ? nullptr : &found->second;
}

} // namespace burdockstep
