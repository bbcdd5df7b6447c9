/// The deployment document that operators apply: regions, places, services, upstreams, drains.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/lookup/client_block_table.hpp"

#include <map>
#include <string>
#include <vector>

namespace burdockstep {

/// Typical duration of a service's requests.
enum class service_class
{
    short_work,          ///< Answered within tens of milliseconds; scheduled first.
    slow_processing_time ///< Downloads and history queries; paced so that they don't delay short
                         ///< work.
};

/// A failure domain within a region.
struct place
{
    place_name name;
    region_name region;
    /// Highest load that steering may put on the place, as a percentage of its slots.
    percent load_cap;
};

/// A link between two regions.
struct region_link
{
    region_name from;
    region_name to;
    megabits_per_second capacity; ///< In each direction.
};

/// One-way network delays, as estimated by the operators.
struct network_delays
{
    duration to_callers{};
    duration between_places{};
    duration between_regions{};
};

/// A service that callers send requests to.
struct service
{
    service_name name;
    service_class work = service_class::short_work;
    /// Whether a request may be executed twice without harm.
    bool idempotent = false;
    duration deadline{};       ///< Longest time that a request may take.
    percent shift_cap;         ///< Largest share of the service's traffic that one step may move.
    duration shift_interval{}; ///< Shortest time between two steps.
    unsigned priority = 0;     ///< From 0 to 9; in an overload lower priorities are refused first.
};

/// A server that answers requests of one service.
struct upstream
{
    upstream_name name;
    service_name service;
    place_name place;
    address at;
    slot_count slots;
};

/// Kind of target that a planned drain applies to.
enum class drain_scope
{
    upstream,
    place,
    region
};

/// A planned drain: its target gets no new requests as long as the document contains it.
struct drain
{
    drain_scope scope = drain_scope::upstream;
    std::string name;
    std::string reason;
};

/// Assigns callers to a region by address: those within `blocks` belong to `region`.
struct client_group
{
    region_name region;
    std::vector<std::string> blocks; ///< CIDR prefixes such as "10.1.0.0/16".
};

/// A complete, validated deployment document.
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
    /// Built from `client_groups`. Regions are stored as indices into `regions`.
    client_block_table client_region_lookup;

    /// The service with this name, or null.
    service const* find_service(service_name const& name) const;
    /// The place with this name, or null.
    place const* find_place(place_name const& name) const;
    /// The region of a place; empty when there is no such place.
    region_name region_of_place(place_name const& name) const;
    /// The region of a caller's IPv4 address; empty when no block contains it.
    region_name region_of_client(std::uint32_t ip) const;
    /// Whether a planned drain covers the upstream, its place or its region.
    bool is_draining(upstream const& candidate) const;
};

} // namespace burdockstep
