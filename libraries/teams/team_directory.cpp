#include "libraries/teams/team_directory.hpp"

namespace burdockstep {

team_directory::team_directory(std::vector<team_settings> const& teams)
{
    for (team_settings const& team : teams) {
        for (key_digest const& key : team.keys)
            teams_by_key_.emplace(key, &team);
    }
}

team_settings const* team_directory::find(key_digest const& key) const
{
    auto const found = teams_by_key_.find(key);
    return found == teams_by_key_.end() ? nullptr : found->second;
}

} // namespace burdockstep
