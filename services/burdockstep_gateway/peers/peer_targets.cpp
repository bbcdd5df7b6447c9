#include "services/burdockstep_gateway/peers/peer_targets.hpp"

namespace burdockstep::gateway {

char const* name_of(peer_distance distance)
{
    switch (distance) {
    case peer_distance::same_place:
        return "place";
    case peer_distance::same_region:
        return "region";
    case peer_distance::other_region:
        return "beyond";
    }
    return "unknown";
}

void peer_targets::rebuild(gateway_settings const& settings,
                           std::vector<member_view> const& members)
{
    own_region_.clear();
    own_place_.clear();
    other_places_of_region_.clear();
    other_regions_.clear();
    distances_.clear();
    for (member_view const& each : members) {
        if (each.listed.instance == settings.instance)
            continue;
        bool const in_region = each.listed.region == settings.region;
        peer_distance distance = peer_distance::other_region;
        if (each.listed.place == settings.place)
            distance = peer_distance::same_place;
        else if (in_region)
            distance = peer_distance::same_region;
        distances_[each.listed.peers] = distance;
        if (!each.is_reachable())
            continue;
        if (distance == peer_distance::same_place)
            own_place_.push_back(each.listed.peers);
        else if (in_region)
            other_places_of_region_.push_back(each.listed.peers);
        (in_region ? own_region_ : other_regions_).push_back(each.listed.peers);
    }
}

std::optional<peer_distance> peer_targets::distance_of(address const& peer) const
{
    auto const found = distances_.find(peer);
    return found == distances_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace burdockstep::gateway
