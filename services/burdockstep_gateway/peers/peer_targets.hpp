/// The other entries by how far away they are.
#pragma once

#include "libraries/configuration/gateway_settings.hpp"
#include "libraries/membership/member_directory.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstep::gateway {

/// How far away another entry is.
enum class peer_distance
{
    same_place,
    same_region,
    other_region
};

constexpr std::size_t peer_distance_count =
    static_cast<std::size_t>(peer_distance::other_region) + 1;
char const* name_of(peer_distance distance);

/// Addresses of the other entries, in the forms in which they are looked up for each datagram.
class peer_targets
{
public:
    /// Takes over the entries of a directory. Call it when one of them has changed.
    void rebuild(gateway_settings const& settings, std::vector<member_view> const& members);

    /// Addresses of the reachable entries of this region, without this one.
    std::vector<address> const& own_region() const { return own_region_; }
    /// Addresses of the reachable entries of this place, without this one.
    std::vector<address> const& own_place() const { return own_place_; }
    /// Addresses of the reachable entries of this region that are in other places.
    std::vector<address> const& other_places_of_region() const { return other_places_of_region_; }
    /// Addresses of the reachable entries of the other regions.
    std::vector<address> const& other_regions() const { return other_regions_; }
    /// The distance of a listed entry, reachable or not; nothing if no listed entry has the
    /// address.
    std::optional<peer_distance> distance_of(address const& peer) const;

private:
    struct address_hash
    {
        std::size_t operator()(address const& hashed) const noexcept
        {
            return std::hash<std::uint64_t>{}(std::uint64_t{hashed.ip} << 16U | hashed.port);
        }
    };

    std::vector<address> own_region_;
    std::vector<address> own_place_;
    std::vector<address> other_places_of_region_;
    std::vector<address> other_regions_;
    std::unordered_map<address, peer_distance, address_hash> distances_;
};

} // namespace burdockstep::gateway
