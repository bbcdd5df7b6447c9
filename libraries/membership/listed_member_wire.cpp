#include "libraries/membership/listed_member_wire.hpp"

namespace burdockstep {

wire::listed_instance to_wire(listed_member const& member)
{
    return {.instance = wire::name_text(member.instance.get()),
            .place = wire::name_text(member.place.get()),
            .region = wire::name_text(member.region.get()),
            .callers = member.callers,
            .operators = member.operators,
            .peers = member.peers,
            .leaving = member.leaving};
}

listed_member from_wire(wire::listed_instance const& instance)
{
    return {.instance = instance_name(instance.instance.get()),
            .place = place_name(instance.place.get()),
            .region = region_name(instance.region.get()),
            .callers = instance.callers,
            .operators = instance.operators,
            .peers = instance.peers,
            .leaving = instance.leaving};
}

} // namespace burdockstep
