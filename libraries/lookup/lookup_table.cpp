#include "libraries/lookup/lookup_table.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

std::uint64_t rendezvous_weight(pool_key const& pool, member_view const& member)
{
    std::uint64_t const seed = hash_of(pool.service.get(), hash_of(pool.region.get()));
    return hash_of(member.listed.instance.get(), seed);
}

/// The serving entries of the pool's region with the highest rendezvous weights, highest first.
std::vector<member_view> rank_members(pool_key const& pool, std::vector<member_view> const& members)
{
    struct weighted_member
    {
        std::uint64_t rendezvous_weight;
        member_view const* member;
    };
    std::vector<weighted_member> weighted_members;
    for (member_view const& each : members) {
        if (each.is_serving() && each.listed.region == pool.region)
            weighted_members.push_back(
                {.rendezvous_weight = rendezvous_weight(pool, each), .member = &each});
    }
    std::size_t const ranked_count =
        std::min(weighted_members.size(), lookup_table::max_ranked_members);
    std::partial_sort(weighted_members.begin(),
                      weighted_members.begin() + static_cast<std::ptrdiff_t>(ranked_count),
                      weighted_members.end(),
                      [](weighted_member const& left, weighted_member const& right) {
                          return left.rendezvous_weight > right.rendezvous_weight;
                      });
    std::vector<member_view> ranked_members;
    for (std::size_t i = 0; i < ranked_count; ++i)
        ranked_members.push_back(*weighted_members[i].member);
    return ranked_members;
}

} // namespace

void lookup_table::rebuild(deployment const& document, std::vector<member_view> const& members)
{
    pools_.clear();
    for (service const& each : document.services) {
        for (region_name const& region : document.regions) {
            pool_key const key{.service = each.name, .region = region};
            pools_[key].ranked_members = rank_members(key, members);
        }
    }
    for (upstream const& each : document.upstreams) {
        pool_ranking& ranking =
            pools_[{.service = each.service, .region = document.region_of_place(each.place)}];
        if (document.is_draining(each))
            ranking.has_draining_upstream = true;
        else
            ranking.has_active_upstream = true;
    }
}

member_view const* lookup_table::owner(pool_key const& pool) const
{
    auto const found = pools_.find(pool);
    if (found == pools_.end() || found->second.ranked_members.empty())
        return nullptr;
    return &found->second.ranked_members.front();
}

std::vector<region_name>
lookup_table::regions_with_active_upstream(service_name const& service) const
{
    std::vector<region_name> regions;
    for (auto const& [key, ranking] : pools_) {
        if (key.service == service && ranking.has_active_upstream)
            regions.push_back(key.region);
    }
    return regions;
}

std::vector<member_view const*> lookup_table::entries(service_name const& service,
                                                      region_name const& region) const
{
    std::vector<member_view const*> chosen;
    auto const add_new_entry = [&](member_view const& member) {
        bool const already_chosen =
            std::any_of(chosen.begin(), chosen.end(), [&](member_view const* each) {
                return each->incarnation == member.incarnation;
            });
        if (!already_chosen && chosen.size() < max_lookup_entries)
            chosen.push_back(&member);
    };
    auto const own_pool = pools_.find({.service = service, .region = region});
    // Callers of a draining pool stay with its owner, which moves their traffic to other pools
    // within the shift cap.
    bool const own_region_serves =
        own_pool != pools_.end() &&
        (own_pool->second.has_active_upstream || own_pool->second.has_draining_upstream);
    if (own_region_serves && !own_pool->second.ranked_members.empty())
        add_new_entry(own_pool->second.ranked_members.front());
    auto const first = pools_.lower_bound({.service = service, .region = {}});
    for (auto each = first; each != pools_.end() && each->first.service == service; ++each) {
        if (each->second.has_active_upstream && !each->second.ranked_members.empty())
            add_new_entry(each->second.ranked_members.front());
    }
    if (own_pool != pools_.end()) {
        for (member_view const& each : own_pool->second.ranked_members)
            add_new_entry(each);
    }
    // If every pool of the service is drained or gone, any serving entry can still forward
    // requests.
    for (auto each = first; each != pools_.end() && each->first.service == service; ++each) {
        if (chosen.empty() && !each->second.ranked_members.empty())
            add_new_entry(each->second.ranked_members.front());
    }
    return chosen;
}

} // namespace burdockstep
