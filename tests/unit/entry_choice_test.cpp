#include "libraries/lookup/entry_choice.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

member_view serving_member(char const* name, char const* place, char const* region,
                           std::uint64_t configuration = 1)
{
    member_view member;
    member.listed.instance = instance_name(name);
    member.listed.place = place_name(place);
    member.listed.region = region_name(region);
    member.listed.callers = {.ip = static_cast<std::uint32_t>(name[0]), .port = 1};
    member.incarnation = incarnation_id(1);
    member.state = wire::member_state::serving;
    member.configuration = configuration_version(configuration);
    return member;
}

} // namespace

TEST_GROUP(entry_choice)
{
    random_source random{1};
    std::vector<member_view> members{
        serving_member("a", "p1", "r1"), serving_member("b", "p2", "r1"),
        serving_member("c", "p3", "r2"), serving_member("d", "p1", "r1")};

    std::size_t chosen_entry_count(char const* place, char const* region,
                                   bool deployment_just_started = false)
    {
        return choose_entries({.place = place_name(place),
                               .region = region_name(region),
                               .members = members,
                               .self = instance_name("a"),
                               .self_is_ready = true,
                               .deployment_just_started = deployment_just_started},
                              random)
            .size();
    }
};

TEST(entry_choice, entries_of_the_place_precede_the_region_and_the_region_precedes_all)
{
    LONGS_EQUAL(2, chosen_entry_count("p1", "r1"));
    LONGS_EQUAL(3, chosen_entry_count("p9", "r1"));
    LONGS_EQUAL(4, chosen_entry_count("p9", "r9"));
}

TEST(entry_choice, lost_and_stopping_entries_are_never_chosen)
{
    members[1].state = wire::member_state::lost;
    members[3].state = wire::member_state::stopping;
    LONGS_EQUAL(1, chosen_entry_count("p1", "r1"));
    LONGS_EQUAL(1, chosen_entry_count("p2", "r1"));
}

TEST(entry_choice, callers_are_not_sent_to_another_region_while_their_own_entries_start)
{
    members[2].configuration = configuration_version(0);
    LONGS_EQUAL(0, chosen_entry_count("p3", "r2", true));
    // If the region's entry is still not ready some time after the start of the deployment, entries
    // of other regions are better than none.
    LONGS_EQUAL(3, chosen_entry_count("p3", "r2", false));
    members[2].state = wire::member_state::lost;
    LONGS_EQUAL(3, chosen_entry_count("p3", "r2", true));
}
