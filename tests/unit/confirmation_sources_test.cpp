// Whom entries ask for their proof of how new the directives are.
#include "libraries/discovery/confirmation_sources.hpp"
#include "libraries/discovery/registry_update.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/listed_members.hpp"

#include <algorithm>
#include <map>

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(confirmation_sources)
{
    std::vector<member_view> members;

    void add_members(unsigned count, unsigned regions)
    {
        for (unsigned i = 0; i < count; ++i) {
            member_view member{.listed = sample_member(i),
                               .incarnation = incarnation_id(1),
                               .state = wire::member_state::serving};
            member.listed.region = region_name("r" + std::to_string(i % regions));
            member.listed.place = place_name("p" + std::to_string(i % (2 * regions)));
            members.push_back(member);
        }
    }

    /// The largest number of entries that first ask the same one.
    std::size_t most_askers()
    {
        std::map<address, std::size_t> askers;
        std::size_t most = 0;
        for (member_view const& each : members) {
            auto const sources = choose_confirmation_sources(each.listed, members);
            CHECK(!sources.preferred.empty());
            most = std::max(most, ++askers[sources.preferred.front()]);
        }
        return most;
    }
};

TEST(confirmation_sources, the_readers_come_first_and_the_own_region_s_before_the_other)
{
    add_members(26, 3);
    auto const readers = registry_readers(members[0].listed.instance, members);
    LONGS_EQUAL(2, readers.size());
    for (member_view const& each : members) {
        bool const is_reader =
            std::find(readers.begin(), readers.end(), each.listed.instance) != readers.end();
        auto const sources = choose_confirmation_sources(each.listed, members);
        LONGS_EQUAL(is_reader ? 1 : 2, sources.preferred.size());
        LONGS_EQUAL(25, sources.others.size());
        auto const region_of = [&](address const& peer) {
            return std::find_if(
                       members.begin(), members.end(),
                       [&](member_view const& member) { return member.listed.peers == peer; })
                ->listed.region;
        };
        bool const second_is_closer = sources.preferred.size() == 2 &&
                                      region_of(sources.preferred[0]) != each.listed.region &&
                                      region_of(sources.preferred[1]) == each.listed.region;
        CHECK(!second_is_closer);
    }
}

TEST(confirmation_sources, entries_that_seem_lost_are_kept_apart)
{
    add_members(3, 1);
    members[1].state = wire::member_state::lost;
    auto const sources = choose_confirmation_sources(members[0].listed, members);
    LONGS_EQUAL(1, sources.preferred.size());
    CHECK(sources.preferred[0] == members[2].listed.peers);
    LONGS_EQUAL(1, sources.others.size());
    CHECK(sources.lost == std::vector{members[1].listed.peers});
    members[1].listed.leaving = true;
    CHECK(choose_confirmation_sources(members[0].listed, members).lost.empty());
}

TEST(confirmation_sources, a_lone_entry_asks_no_one)
{
    add_members(1, 1);
    auto const sources = choose_confirmation_sources(members[0].listed, members);
    CHECK(sources.preferred.empty());
    CHECK(sources.others.empty());
}

TEST(confirmation_sources, the_questions_to_one_entry_stay_few_with_many_entries)
{
    add_members(60, 3);
    CHECK(most_askers() <= 60);
    members.clear();
    add_members(300, 3);
    CHECK(most_askers() <= 60);
    members.clear();
    add_members(1'500, 3);
    CHECK(most_askers() <= 80);
}
