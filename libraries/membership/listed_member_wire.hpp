/// Conversion of listed entries to and from their form in messages between peers.
#pragma once

#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

namespace burdockstep {

wire::listed_instance to_wire(listed_member const& member);
listed_member from_wire(wire::listed_instance const& instance);

} // namespace burdockstep
