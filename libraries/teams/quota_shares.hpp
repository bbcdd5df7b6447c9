/// Division of a team's quota into shares, each of which one entry counts.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/teams/team_settings.hpp"

#include <cstdint>

namespace burdockstep {

/// Hash of a team's name, which stands for the team in messages.
using team_hash = strong_type<std::uint64_t, struct team_hash_tag>;
team_hash hash_of_team(team_name const& name);

/// One share of a team's quota.
struct quota_share
{
    team_hash team;
    std::uint8_t index = 0;

    friend bool operator==(quota_share const&, quota_share const&) = default;
    friend auto operator<=>(quota_share const&, quota_share const&) = default;
};

/// Into how many equal shares a quota is divided. All entries with the same configuration get the
/// same number. Several shares keep most of a quota usable while the owner of one is gone, and
/// spread the questions about a large team over several entries.
std::uint8_t share_count(team_quota const& quota);
/// The quota of one share.
team_quota quota_of_share(team_quota const& quota);

/// For how long a granted token may be used, counted from the question for it.
constexpr duration quota_lease = std::chrono::milliseconds(250);

} // namespace burdockstep

template <>
struct std::hash<burdockstep::quota_share>
{
    std::size_t operator()(burdockstep::quota_share const& share) const noexcept
    {
        return share.team.get() + share.index * std::size_t{0x9e3779b97f4a7c15};
    }
};
