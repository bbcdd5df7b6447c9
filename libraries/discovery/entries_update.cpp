#include "libraries/discovery/entries_update.hpp"

#include "libraries/membership/listed_member_wire.hpp"

namespace burdockstep {

wire::entries_update_message make_entries_update(store_position after, store_position up_to,
                                                 std::vector<listed_member> const& changed)
{
    wire::entries_update_message update{.after = after, .up_to = up_to, .entries = {}};
    for (listed_member const& each : changed) {
        if (update.entries.is_full()) {
            update.complete = false;
            break;
        }
        update.entries.add(to_wire(each));
    }
    return update;
}

std::vector<listed_member> entries_in_update(wire::entries_update_message const& update)
{
    std::vector<listed_member> entries;
    for (wire::listed_instance const& each : update.entries.get())
        entries.push_back(from_wire(each));
    return entries;
}

} // namespace burdockstep
