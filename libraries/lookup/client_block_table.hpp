/// Maps callers' IPv4 addresses to regions by address blocks (CIDR prefixes).
#pragma once

#include "libraries/core/error.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace burdockstep {

/// A range of IPv4 addresses, `first` to `last` inclusive, in host byte order, and its region.
struct client_block
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint16_t region = 0; ///< Index into the deployment document's regions.

    friend bool operator==(client_block const&, client_block const&) = default;
};

/// Parses a CIDR prefix such as "10.1.0.0/16". Fails with `invalid_input`, also when address bits
/// beyond the prefix length are set.
result<client_block> parse_client_block(std::string_view text);

/// Finds the region of an address. Of nested blocks, the innermost one that contains it decides.
class client_block_table
{
public:
    client_block_table() = default;
    /// Any two blocks must be nested or disjoint, as CIDR prefixes always are.
    explicit client_block_table(std::vector<client_block> blocks);

    /// Index of the region; empty when no block contains the address.
    std::optional<std::uint16_t> find(std::uint32_t ip) const;
    /// Number of disjoint ranges.
    std::size_t size() const { return ranges_.size(); }

private:
    /// Disjoint and sorted by address: the constructor splits nested blocks.
    std::vector<client_block> ranges_;
};

} // namespace burdockstep
