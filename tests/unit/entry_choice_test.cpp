#include "libraries/lookup/entry_choice.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

member_view member_in(char const* name, char const* place, char const* region,
                      std::uint64_t configuration = 1)
{
    member_view view;
    view.listed.instance = instance_name(name);
    view.listed.place = place_name(place);
    view.listed.region = region_name(region);
    view.listed.callers = {.ip = static_cast<std::uint32_t>(name[0]), .port = 1};
    view.incarnation = incarnation_id(1);
    view.state = wire::member_state::serving;
    view.configuration = configuration_version(configuration);
    return view;
}

} // namespace

TEST_GROUP(entry_choice)
{
    random_source random{1};
    std::vector<member_view> members{member_in("a", "p1", "r1"), member_in("b", "p2", "r1"),
                                     member_in("c", "p3", "r2"), member_in("d", "p1", "r1")};

    std::size_t count(char const* place, char const* region, bool just_started = false)
    {
        return choose_entries({.place = place_name(place),
                               .region = region_name(region),
                               .members = members,
                               .self = instance_name("a"),
                               .self_is_ready = true,
                               .just_started = just_started},
                              random)
            .size();
    }
};

TEST(entry_choice, place_comes_before_region_and_region_before_all)
{
    LONGS_EQUAL(2, count("p1", "r1"));
    LONGS_EQUAL(3, count("p9", "r1"));
    LONGS_EQUAL(4, count("p9", "r9"));
}

TEST(entry_choice, lost_and_stopping_entries_are_never_named)
{
    members[1].state = wire::member_state::lost;
    members[3].state = wire::member_state::stopping;
    LONGS_EQUAL(1, count("p1", "r1"));
    LONGS_EQUAL(1, count("p2", "r1"));
}

TEST(entry_choice, callers_aren_t_sent_to_another_region_while_their_own_entries_start)
{
    members[2].configuration = configuration_version(0);
    LONGS_EQUAL(0, count("p3", "r2", true));
    // When it lasts, something else is wrong: then any entry is better than none.
    LONGS_EQUAL(3, count("p3", "r2", false));
    members[2].state = wire::member_state::lost;
    LONGS_EQUAL(3, count("p3", "r2", true));
}
