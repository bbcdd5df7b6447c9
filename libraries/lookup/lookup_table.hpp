/// Ranks the entries that callers should use for each service and region.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/membership/member_directory.hpp"

#include <map>
#include <vector>

namespace burdockstep {

/// Identifies a pool: the upstreams of one service in one region.
struct pool_key
{
    service_name service;
    region_name region;

    friend auto operator<=>(pool_key const&, pool_key const&) = default;
};

/// Ranks the serving entries of each pool's region by rendezvous hashing. The first one is the
/// pool's owner, which allocates the slots of its upstreams. All instances compute the same ranking
/// from the same members.
class lookup_table
{
public:
    /// Ranked entries that are kept for each pool: the owner and its substitutes.
    static constexpr std::size_t max_ranked_members = 4;
    /// Largest number of entries in a look-up answer.
    static constexpr std::size_t max_lookup_entries = 8;

    /// Rebuilds the table from a deployment document and the known entries.
    void rebuild(deployment const& document, std::vector<member_view> const& members);

    /// The owner of a pool; null when its region has no serving entry. Valid until the next
    /// rebuild.
    member_view const* owner(pool_key const& pool) const;
    /// Entries for a caller in `region`, best first: the owner of the pool there, then the owners
    /// of the service's other pools, then the substitutes in the region; at most
    /// `max_lookup_entries`. Empty when no entry is serving. Valid until the next rebuild.
    std::vector<member_view const*> entries(service_name const& service,
                                            region_name const& region) const;
    /// Regions in which the service has an upstream that no planned drain covers.
    std::vector<region_name> regions_with_active_upstream(service_name const& service) const;

private:
    struct pool_ranking
    {
        std::vector<member_view> ranked_members; ///< The region's best serving entries, in order.
        bool has_active_upstream = false;        ///< At least one that no planned drain covers.
        bool has_draining_upstream = false;      ///< At least one that a planned drain covers.
    };

    std::map<pool_key, pool_ranking> pools_;
};

} // namespace burdockstep
