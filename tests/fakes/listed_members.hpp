/// Sample listed entries for tests.
#pragma once

#include "libraries/membership/member_directory.hpp"

#include <string>
#include <vector>

namespace burdockstep::testing {

/// Returns entry "eN" in region "armor", with its own address for peers.
inline listed_member sample_member(unsigned number)
{
    listed_member member;
    member.instance = instance_name("e" + std::to_string(number));
    member.region = region_name("armor");
    member.peers = {.ip = 100 + number, .port = 7};
    return member;
}

/// Returns the entries e0 to e(count - 1).
inline std::vector<listed_member> sample_members(unsigned count)
{
    std::vector<listed_member> members;
    for (unsigned i = 0; i < count; ++i)
        members.push_back(sample_member(i));
    return members;
}

} // namespace burdockstep::testing
