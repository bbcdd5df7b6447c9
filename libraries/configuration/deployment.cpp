#include "libraries/configuration/deployment.hpp"

#include <algorithm>

namespace burdockstep {

service const* deployment::find_service(service_name const& wanted_name) const
{
    auto const found = std::find_if(services.begin(), services.end(),
                                    [&](service const& each) { return each.name == wanted_name; });
    return found == services.end() ? nullptr : &*found;
}

place const* deployment::find_place(place_name const& wanted_name) const
{
    auto const found = std::find_if(places.begin(), places.end(),
                                    [&](place const& each) { return each.name == wanted_name; });
    return found == places.end() ? nullptr : &*found;
}

region_name deployment::region_of_place(place_name const& wanted_name) const
{
    place const* const found = find_place(wanted_name);
    return found == nullptr ? region_name{} : found->region;
}

region_name deployment::region_of_client(std::uint32_t ip) const
{
    auto const index = client_region_lookup.find(ip);
    return index ? regions.at(*index) : region_name{};
}

bool deployment::is_draining(upstream const& candidate) const
{
    auto const covers = [&](drain const& each) {
        switch (each.scope) {
        case drain_scope::upstream:
            return each.name == candidate.name.get();
        case drain_scope::place:
            return each.name == candidate.place.get();
        case drain_scope::region:
            return each.name == region_of_place(candidate.place).get();
        }
        return false;
    };
    return std::any_of(drains.begin(), drains.end(), covers);
}

} // namespace burdockstep
