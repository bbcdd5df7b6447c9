#include "libraries/teams/quota_shares.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// A share must get tokens often enough, and hold enough of them, to answer most questions.
constexpr double min_requests_per_s_of_share = 2;
constexpr double min_burst_of_share = 2;
/// With this many shares the loss of one owner costs little.
constexpr double shares_against_loss = 8;
/// A larger share would cost its owner too much time for questions.
constexpr double requests_per_s_of_large_share = 100;
constexpr double max_shares = 64;

} // namespace

team_hash hash_of_team(team_name const& name)
{
    return team_hash(hash_of(name.get()));
}

std::uint8_t share_count(team_quota const& quota)
{
    double const for_safety =
        std::min(quota.requests_per_s / min_requests_per_s_of_share, shares_against_loss);
    double const for_load = quota.requests_per_s / requests_per_s_of_large_share;
    double const by_burst = quota.burst / min_burst_of_share;
    double const shares = std::min(std::max(for_safety, for_load), by_burst);
    return static_cast<std::uint8_t>(std::clamp(shares, 1.0, max_shares));
}

team_quota quota_of_share(team_quota const& quota)
{
    double const shares = share_count(quota);
    return {.requests_per_s = quota.requests_per_s / shares, .burst = quota.burst / shares};
}

} // namespace burdockstep
