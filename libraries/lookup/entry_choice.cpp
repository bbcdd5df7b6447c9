#include "libraries/lookup/entry_choice.hpp"

#include <algorithm>

namespace burdockstep {

std::vector<address> choose_entries(entry_choice_input const& input, random_source& random)
{
    std::vector<address> in_place;
    std::vector<address> in_region;
    std::vector<address> all;
    bool region_is_starting = false;
    for (member_view const& each : input.members) {
        bool const is_self = each.listed.instance == input.self;
        bool const can_serve = is_self ? input.self_is_ready : each.is_serving();
        bool const is_in_region = each.listed.region == input.region;
        bool const is_live = is_self || each.is_reachable();
        bool const awaits_readiness =
            each.configuration.get() == 0 || (is_self && !input.self_is_ready);
        region_is_starting = region_is_starting || (is_in_region && is_live && awaits_readiness);
        if (!can_serve)
            continue;
        all.push_back(each.listed.callers);
        if (is_in_region)
            in_region.push_back(each.listed.callers);
        if (each.listed.place == input.place)
            in_place.push_back(each.listed.callers);
    }
    if (in_region.empty() && region_is_starting && input.deployment_just_started)
        return {};
    std::vector<address>& chosen = !in_place.empty()    ? in_place
                                   : !in_region.empty() ? in_region
                                                        : all;
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), max_chosen_entries));
    return chosen;
}

} // namespace burdockstep
