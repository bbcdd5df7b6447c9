/// Which entries callers should use for a service.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/membership/member_directory.hpp"

#include <map>
#include <vector>

namespace burdockstep {

/// A pool of upstreams: those of one service in one region.
struct pool_key
{
    service_name service;
    region_name region;

    friend auto operator<=>(pool_key const&, pool_key const&) = default;
};

/// Orders the live entries for each pool. The first of a pool's own region is the owner, which
/// shares out its slots; all instances compute the same order from the same members.
class lookup_table
{
public:
    /// Entries of a pool that are kept, the owner and its spares.
    static constexpr std::size_t max_ranked_members = 4;
    /// Entries of a look-up answer.
    static constexpr std::size_t max_lookup_entries = 8;

    /// Rebuilds the table.
    void rebuild(deployment const& document, std::vector<member_view> const& members);

    /// The owner of a pool; null when the region has no live entry. Valid until the next rebuild.
    member_view const* owner(pool_key const& pool) const;
    /// Entries for a caller in `region`, best first: the owner there, then the owners of the
    /// service's other pools, then spares of the region; at most `max_lookup_entries`. Empty when
    /// no entry is alive. Valid until the next rebuild.
    std::vector<member_view const*> entries(service_name const& service,
                                            region_name const& region) const;
    /// Regions where the service has an upstream that isn't draining.
    std::vector<region_name> regions_with_active_upstream(service_name const& service) const;

private:
    struct pool_ranking
    {
        std::vector<member_view> ranked_members; ///< The best live entries of the region, in order.
        bool has_active_upstream = false;        ///< One that isn't draining.
        bool has_draining_upstream = false;      ///< It has upstreams, and all drain by plan.
    };

    std::map<pool_key, pool_ranking> pools_;
};

} // namespace burdockstep
