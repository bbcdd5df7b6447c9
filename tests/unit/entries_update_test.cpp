#include "libraries/discovery/entries_update.hpp"
#include "libraries/wire/codec.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/listed_members.hpp"
#include "tests/fakes/store_positions.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(entries_update_message){};

TEST(entries_update_message, extracted_records_equal_the_original_ones)
{
    std::vector<listed_member> changed = sample_members(3);
    changed[0].place = place_name("brest");
    changed[0].callers = {.ip = 5, .port = 8641};
    changed[1].leaving = true;
    wire::entries_update_message const update =
        make_entries_update(at_version(4), at_version(9), changed);
    CHECK(update.after == at_version(4));
    CHECK(update.up_to == at_version(9));
    CHECK(update.complete);
    CHECK(entries_in_update(update) == changed);
}

TEST(entries_update_message, update_with_too_many_entries_is_marked_incomplete)
{
    CHECK(make_entries_update(at_version(1), at_version(2), sample_members(5)).complete);
    CHECK_FALSE(make_entries_update(at_version(1), at_version(2), sample_members(6)).complete);
}

TEST(entries_update_message, largest_update_fits_in_a_datagram)
{
    std::string const longest_name(63, 'n');
    std::vector<listed_member> largest_entries = sample_members(5);
    for (listed_member& each : largest_entries) {
        each.instance = instance_name(longest_name);
        each.place = place_name(longest_name);
        each.region = region_name(longest_name);
    }
    std::string const bytes =
        wire::encode(make_entries_update(at_version(1), at_version(2), largest_entries));
    CHECK(bytes.size() <= wire::max_datagram_bytes);
}
