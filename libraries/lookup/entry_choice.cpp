#include "libraries/lookup/entry_choice.hpp"

#include "libraries/lookup/entry_weights.hpp"

#include <utility>

namespace burdockstep {

std::vector<address> choose_entries(entry_choice_input const& input, random_source& random)
{
    std::vector<entry_candidate> in_place;
    std::vector<entry_candidate> in_region;
    std::vector<entry_candidate> all;
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
        entry_candidate const candidate{.callers = each.listed.callers,
                                        .capacity = each.listed.capacity};
        all.push_back(candidate);
        if (is_in_region)
            in_region.push_back(candidate);
        if (each.listed.place == input.place)
            in_place.push_back(candidate);
    }
    if (in_region.empty() && region_is_starting && input.deployment_just_started)
        return {};
    std::vector<entry_candidate>& nearest = !in_place.empty()    ? in_place
                                            : !in_region.empty() ? in_region
                                                                 : all;
    return choose_by_weight(std::move(nearest), max_chosen_entries, random);
}

} // namespace burdockstep
