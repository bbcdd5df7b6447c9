#include "libraries/membership/entry_list.hpp"

#include <algorithm>
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
        if (each.leaving) {
            merged.erase(each.instance);
            continue;
        }
        bool const is_one_too_many =
            merged.size() >= max_listed_entries && !merged.contains(each.instance);
        if (is_one_too_many)
            continue;
        listed_member& listed = merged[each.instance];
        entry_capacity const known_capacity = listed.capacity;
        listed = each;
        if (!listed.capacity.is_known())
            listed.capacity = known_capacity;
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

std::optional<wire::entry_capacities_message>
make_entry_capacities(std::vector<listed_member> const& entries)
{
    wire::entry_capacities_message message;
    for (listed_member const& each : entries) {
        if (each.leaving || !each.capacity.is_known() || message.entries.is_full())
            continue;
        message.entries.add({.instance = wire::name_text(each.instance.get()),
                             .core_thousandths = each.capacity.core_thousandths,
                             .link_kbps = each.capacity.link_kbps});
    }
    if (message.entries.get().empty())
        return std::nullopt;
    return message;
}

std::vector<listed_member> with_capacities(std::vector<listed_member> listed,
                                           wire::entry_capacities_message const& told,
                                           instance_name const& self)
{
    for (wire::entry_capacity_record const& record : told.entries.get()) {
        instance_name const name(record.instance.get());
        auto const found = std::find_if(listed.begin(), listed.end(),
                                        [&](auto const& each) { return each.instance == name; });
        if (found == listed.end() || name == self)
            continue;
        found->capacity = {.core_thousandths =
                               std::min(record.core_thousandths, max_core_thousandths),
                           .link_kbps = std::min(record.link_kbps, max_link_kbps)};
    }
    return listed;
}

} // namespace burdockstep
