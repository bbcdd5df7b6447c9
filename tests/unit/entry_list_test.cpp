#include "libraries/membership/entry_list.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/listed_members.hpp"

#include <algorithm>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

std::vector<member_view> views_of(std::vector<listed_member> const& listed)
{
    std::vector<member_view> views;
    views.reserve(listed.size());
    for (listed_member const& each : listed)
        views.push_back({.listed = each});
    return views;
}

} // namespace

TEST_GROUP(entry_list){};

// Guards against records of entries without end, by a faulty store.
TEST(entry_list, entries_beyond_the_limit_are_passed_over)
{
    auto const records = sample_members(max_listed_entries + 5);
    for (entry_list_kind const kind : {entry_list_kind::changes, entry_list_kind::whole_list})
        LONGS_EQUAL(max_listed_entries, merge_entry_records({}, records, kind).size());
    std::vector<listed_member> const full = sample_members(max_listed_entries);
    listed_member moved = sample_member(7);
    moved.peers.port = 99;
    listed_member leaving = sample_member(8);
    leaving.leaving = true;
    // Listed entries stay up to date, and one that leaves makes room.
    auto const merged = merge_entry_records(
        views_of(full), {moved, leaving, sample_member(max_listed_entries), records.back()},
        entry_list_kind::changes);
    LONGS_EQUAL(max_listed_entries, merged.size());
    CHECK(std::find(merged.begin(), merged.end(), moved) != merged.end());
    CHECK(std::find(merged.begin(), merged.end(), records.back()) == merged.end());
}
