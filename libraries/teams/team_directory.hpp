/// Index of the teams of one configuration by their keys.
#pragma once

#include "libraries/teams/team_settings.hpp"

#include <unordered_map>
#include <vector>

namespace burdockstep {

/// Finds the team that holds a key.
class team_directory
{
public:
    team_directory() = default;
    /// Indexes `teams`, which must outlive the directory. A key that two teams hold belongs to the
    /// first of them.
    explicit team_directory(std::vector<team_settings> const& teams);

    /// The team that holds the key, or null.
    team_settings const* find(key_digest const& key) const;

private:
    std::unordered_map<key_digest, team_settings const*> teams_by_key_;
};

} // namespace burdockstep
