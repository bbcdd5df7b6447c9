/// Which region the callers of an address block belong to.
#pragma once

#include "libraries/core/error.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace burdockstep {

/// IPv4 addresses `first` to `last`, both inclusive, in host byte order.
struct client_block
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint16_t region = 0; ///< Index into the document's regions.

    friend bool operator==(client_block const&, client_block const&) = default;
};

/// Parses "10.1.0.0/16". Fails with `invalid_input`, also when address bits lie beyond the prefix.
result<client_block> parse_client_block(std::string_view text);

/// Finds the block of an address. A block within another one wins over it.
class client_block_table
{
public:
    client_block_table() = default;
    /// Blocks nest or are apart, as prefixes do.
    explicit client_block_table(std::vector<client_block> blocks);

    /// Index of the region; nothing when no block holds the address.
    std::optional<std::uint16_t> find(std::uint32_t ip) const;
    std::size_t size() const { return ranges_.size(); }

private:
    /// Disjoint, sorted: nested blocks are cut up when the table is built.
    std::vector<client_block> ranges_;
};

} // namespace burdockstep
