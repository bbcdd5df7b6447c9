#include "libraries/lookup/client_block_table.hpp"

#include "libraries/core/address.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace burdockstep {

namespace {

constexpr unsigned ipv4_address_bits = 32;

leaf::error_id invalid_block_error(std::string_view text)
{
    return fail(error_kind::invalid_input,
                fmt::format("'{}' is not a block; write a prefix such as 10.1.0.0/16, with no "
                            "address bits beyond its length",
                            text));
}

/// Splits nested blocks into disjoint ranges. Blocks are added sorted by their first address, outer
/// blocks before inner ones.
class block_flattener
{
public:
    void add(client_block const& block)
    {
        while (!enclosing_blocks_.empty() && enclosing_blocks_.back().last < block.first)
            close_innermost_block();
        if (!enclosing_blocks_.empty())
            emit_until(block.first);
        enclosing_blocks_.push_back(block);
        next_address_ = block.first;
    }

    std::vector<client_block> finish()
    {
        while (!enclosing_blocks_.empty())
            close_innermost_block();
        return std::move(ranges_);
    }

private:
    void close_innermost_block()
    {
        emit_until(std::uint64_t{enclosing_blocks_.back().last} + 1);
        enclosing_blocks_.pop_back();
    }

    /// Emits the range from `next_address_` up to but excluding `end`, for the innermost open
    /// block.
    void emit_until(std::uint64_t end)
    {
        if (next_address_ >= end)
            return;
        ranges_.push_back({.first = static_cast<std::uint32_t>(next_address_),
                           .last = static_cast<std::uint32_t>(end - 1),
                           .region = enclosing_blocks_.back().region});
        next_address_ = end;
    }

    /// Blocks that have been added but not yet closed, innermost last. Each contains the
    /// blocks after it.
    std::vector<client_block> enclosing_blocks_;
    std::vector<client_block> ranges_;
    /// First address that has not been emitted yet. 64 bits wide because it passes the last IPv4
    /// address at the end.
    std::uint64_t next_address_ = 0;
};

} // namespace

result<client_block> parse_client_block(std::string_view text)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos)
        return invalid_block_error(text);
    unsigned prefix_length = 0;
    char const* const end = text.data() + text.size();
    auto const [number_end, error_code] =
        std::from_chars(text.data() + slash + 1, end, prefix_length);
    // The address parser expects a port: port 0 is added here, and port 1 marks a parse error.
    std::string const address_with_port = std::string(text.substr(0, slash)) + ":0";
    address const base_address =
        handle_failure([&] { return parse_address(address_with_port); },
                       [](failure const&) { return address{.ip = 0, .port = 1}; });
    if (error_code != std::errc{} || number_end != end || prefix_length > ipv4_address_bits ||
        base_address.port != 0)
        return invalid_block_error(text);
    std::uint32_t const host_mask = prefix_length == 0 ? UINT32_MAX : UINT32_MAX >> prefix_length;
    bool const has_host_bits =
        prefix_length < ipv4_address_bits && (base_address.ip & host_mask) != 0;
    if (has_host_bits)
        return invalid_block_error(text);
    std::uint32_t const last =
        prefix_length == ipv4_address_bits ? base_address.ip : base_address.ip | host_mask;
    return client_block{.first = base_address.ip, .last = last};
}

client_block_table::client_block_table(std::vector<client_block> blocks)
{
    std::sort(
        blocks.begin(), blocks.end(), [](client_block const& left, client_block const& right) {
            return left.first != right.first ? left.first < right.first : left.last > right.last;
        });
    block_flattener flattener;
    for (client_block const& each : blocks)
        flattener.add(each);
    ranges_ = flattener.finish();
    ranges_.shrink_to_fit();
}

std::optional<std::uint16_t> client_block_table::find(std::uint32_t ip) const
{
    auto const first_range_above =
        std::upper_bound(ranges_.begin(), ranges_.end(), ip,
                         [](std::uint32_t searched_ip, client_block const& range) {
                             return searched_ip < range.first;
                         });
    if (first_range_above == ranges_.begin())
        return std::nullopt;
    client_block const& candidate = *std::prev(first_range_above);
    return ip <= candidate.last ? std::optional(candidate.region) : std::nullopt;
}

} // namespace burdockstep
