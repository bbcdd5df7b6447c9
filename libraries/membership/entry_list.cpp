#include "libraries/membership/entry_list.hpp"

#include <map>
#include <utility>

namespace burdockstep {

std::vector<listed_member> merge_entry_records(std::vector<member_view> const& known,
                                               std::vector<listed_member> const& received,
                                               entry_list_kind kind)
{
    std::map<instance_name, listed_member> merged;
    if (kind == entry_list_kind::changes) {
        for (member_view const& each : known)
            merged.emplace(each.listed.instance, each.listed);
    }
    for (listed_member const& each : received) {
        if (each.leaving)
            merged.erase(each.instance);
        else
            merged.insert_or_assign(each.instance, each);
    }
    if (kind == entry_list_kind::restored_list) {
        for (member_view const& each : known) {
            if (each.is_reachable())
                merged.insert_or_assign(each.listed.instance, each.listed);
        }
    }
    std::vector<listed_member> listed;
    listed.reserve(merged.size());
    for (auto& [name, each] : merged)
        listed.push_back(std::move(each));
    return listed;
}

} // namespace burdockstep
