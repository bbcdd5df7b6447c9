/// The document that operators apply: services, places, caps and planned drains.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/lookup/client_block_table.hpp"

#include <map>
#include <string>
#include <vector>

namespace burdockstep {

/// How long the requests of a service usually take.
enum class service_class
{
    short_work, ///< Answered in tens of milliseconds; it goes first.
    long_work   ///< Downloads and histories; paced so that short work isn't delayed.
};

/// A failure domain within a region.
struct place
{
    place_name name;
    region_name region;
    /// Highest load that steering may put on the place, as a part of its slots.
    percent load_cap;
};

/// A link between two regions.
struct region_link
{
    region_name from;
    region_name to;
    megabits_per_second capacity; ///< Each way.
};

/// One-way network delays that the operators expect.
struct network_delays
{
    duration to_callers{};
    duration between_places{};
    duration between_regions{};
};

/// A service that callers ask for.
struct service
{
    service_name name;
    service_class work = service_class::short_work;
    /// True when running a request twice does no harm.
    bool idempotent = false;
    duration deadline{};       ///< Longest time that a request may take.
    percent shift_cap;         ///< Largest part of the service's traffic that one step may move.
    duration shift_interval{}; ///< Shortest time between two steps.
    unsigned priority = 0;     ///< Higher is refused later in an overload, from 0 to 9.
};

/// An upstream that answers one service.
struct upstream
{
    upstream_name name;
    service_name service;
    place_name place;
    address at;
    slot_count slots;
};

/// What a planned drain empties.
enum class drain_scope
{
    upstream,
    place,
    region
};

/// Planned work: the named part gets no new requests while this stands in the file.
struct drain
{
    drain_scope scope = drain_scope::upstream;
    std::string name;
    std::string reason;
};

/// Callers whose addresses lie in the blocks belong to the region.
struct client_group
{
    region_name region;
    std::vector<std::string> blocks; ///< Prefixes such as "10.1.0.0/16".
};

/// A whole checked document.
struct deployment
{
    std::string name;
    network_delays delays;
    std::vector<region_name> regions;
    std::vector<place> places;
    std::vector<region_link> links;
    std::vector<service> services;
    std::vector<upstream> upstreams;
    std::vector<drain> drains;
    std::vector<client_group> client_groups;
    client_block_table
        client_region_lookup; ///< Of `client_groups`; regions by their index in `regions`.

    /// The service of that name, or null.
    service const* find_service(service_name const& name) const;
    /// The place of that name, or null.
    place const* find_place(place_name const& name) const;
    /// The region of a place; empty when the place isn't there.
    region_name region_of_place(place_name const& name) const;
    /// The region of a caller's address; empty when no block holds it.
    region_name region_of_client(std::uint32_t ip) const;
    /// True when a planned drain covers the upstream.
    bool is_draining(upstream const& candidate) const;
};

} // namespace burdockstep
