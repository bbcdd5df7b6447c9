#include "libraries/lookup/client_block_table.hpp"

#include "libraries/core/random.hpp"

#include "tests/fakes/harness.hpp"

#include <set>

using namespace burdockstep;

namespace {

client_block block_at(std::uint32_t first, unsigned bits, std::uint16_t region)
{
    std::uint32_t const size = bits == 32 ? UINT32_MAX : (1U << bits) - 1;
    return {.first = first, .last = first + size, .region = region};
}

/// Region of the smallest block that contains the address, by linear search: the expected result.
std::optional<std::uint16_t> smallest_block_region(std::vector<client_block> const& blocks,
                                                   std::uint32_t ip)
{
    client_block const* smallest_block = nullptr;
    for (client_block const& each : blocks) {
        bool const contains_ip = each.first <= ip && ip <= each.last;
        if (contains_ip && (smallest_block == nullptr ||
                            each.last - each.first < smallest_block->last - smallest_block->first))
            smallest_block = &each;
    }
    return smallest_block == nullptr ? std::nullopt : std::optional(smallest_block->region);
}

} // namespace

TEST_GROUP(client_block_table){};

TEST(client_block_table, nested_block_overrides_its_outer_block_within_its_range_only)
{
    client_block_table const block_table(
        {block_at(0x0a000000, 24, 1), block_at(0x0a010000, 16, 2)});
    CHECK(block_table.find(0x0a00ffff) == 1);
    CHECK(block_table.find(0x0a010000) == 2);
    CHECK(block_table.find(0x0a01ffff) == 2);
    CHECK(block_table.find(0x0a020000) == 1);
    CHECK(!block_table.find(0x0b000000));
    CHECK(!block_table.find(0x09ffffff));
}

TEST(client_block_table, first_and_last_ipv4_addresses_are_found)
{
    client_block_table const block_table({block_at(0, 32, 1), block_at(0xffffff00, 8, 2)});
    CHECK(block_table.find(0) == 1);
    CHECK(block_table.find(0xfffffeff) == 1);
    CHECK(block_table.find(0xffffff00) == 2);
    CHECK(block_table.find(0xffffffff) == 2);
}

TEST(client_block_table, lookup_matches_a_linear_search_of_all_blocks)
{
    random_source random(21);
    for (int round = 0; round < 200; ++round) {
        std::vector<client_block> blocks;
        std::set<std::pair<std::uint32_t, unsigned>> used_blocks;
        for (std::uint16_t i = 0; i < 12; ++i) {
            auto const bits = static_cast<unsigned>(random.below(9));
            auto const first = static_cast<std::uint32_t>(random.below(256)) >> bits << bits;
            if (used_blocks.insert({first, bits}).second)
                blocks.push_back(block_at(first, bits, i));
        }
        client_block_table const block_table(blocks);
        for (std::uint32_t ip = 0; ip < 260; ++ip)
            CHECK(block_table.find(ip) == smallest_block_region(blocks, ip));
    }
}
