#include "libraries/lookup/entry_choice.hpp"
#include "libraries/lookup/entry_weights.hpp"

#include "tests/fakes/harness.hpp"

#include <algorithm>
#include <map>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::size_t caller_count = 20'000;

entry_capacity capacity(std::uint32_t core_thousandths, std::uint32_t link_mbps)
{
    return {.core_thousandths = core_thousandths, .link_kbps = link_mbps * 1'000};
}

} // namespace

/// Many callers look entries up in one place; each uses one address of its answer, chosen evenly.
TEST_GROUP(entry_weights)
{
    random_source random{7};
    std::vector<member_view> members;
    std::size_t fewest_addresses = max_chosen_entries;

    void add_entries(std::size_t count, entry_capacity const& told, char const* place = "p1")
    {
        for (std::size_t i = 0; i < count; ++i) {
            member_view member;
            member.listed.instance = instance_name("e" + std::to_string(members.size()));
            member.listed.place = place_name(place);
            member.listed.region = region_name("r1");
            member.listed.callers = {.ip = static_cast<std::uint32_t>(members.size()), .port = 1};
            member.listed.capacity = told;
            member.incarnation = incarnation_id(1);
            member.state = wire::member_state::serving;
            member.configuration = configuration_version(1);
            members.push_back(member);
        }
    }
    std::vector<address> answer()
    {
        return choose_entries({.place = place_name("p1"),
                               .region = region_name("r1"),
                               .members = members,
                               .self = instance_name("e0"),
                               .self_is_ready = true},
                              random);
    }
    /// The fraction of callers that each entry gets.
    std::vector<double> shares()
    {
        std::vector<double> found(members.size(), 0);
        for (std::size_t i = 0; i < caller_count; ++i) {
            std::vector<address> const named = answer();
            fewest_addresses = std::min(fewest_addresses, named.size());
            found[named[random.below(named.size())].ip] += 1.0 / caller_count;
        }
        return found;
    }
};

TEST(entry_weights, entries_get_callers_in_proportion_to_their_processors)
{
    add_entries(2, capacity(500, 1'000));
    add_entries(9, capacity(200, 1'000));
    std::vector<double> const got = shares();
    for (std::size_t i = 0; i < members.size(); ++i)
        DOUBLES_EQUAL(i < 2 ? 0.5 / 2.8 : 0.2 / 2.8, got[i], 0.015);
    CHECK(fewest_addresses >= min_named_entries);
}

TEST(entry_weights, strong_entries_are_in_all_answers_which_still_name_several)
{
    add_entries(2, capacity(500, 200));
    add_entries(9, capacity(100, 10));
    std::vector<double> const got = shares();
    for (std::size_t i = 0; i < members.size(); ++i)
        DOUBLES_EQUAL(i < 2 ? 5.0 / 19 : 1.0 / 19, got[i], 0.015);
    CHECK(fewest_addresses >= min_named_entries);
}

TEST(entry_weights, short_link_counts_where_it_is_less_than_the_processor_needs)
{
    add_entries(3, capacity(500, 1'000));
    add_entries(3, capacity(500, 5));
    std::vector<double> const got = shares();
    for (std::size_t i = 0; i < members.size(); ++i)
        DOUBLES_EQUAL(i < 3 ? 5.0 / 18 : 1.0 / 18, got[i], 0.015);
}

TEST(entry_weights, entry_of_unknown_capacity_gets_as_many_callers_as_the_median_of_the_others)
{
    add_entries(1, {});
    add_entries(2, capacity(100, 200));
    add_entries(3, capacity(300, 200));
    std::vector<double> const got = shares();
    DOUBLES_EQUAL(0.3 / 1.4, got[0], 0.015);
    DOUBLES_EQUAL(0.1 / 1.4, got[1], 0.015);
}

TEST(entry_weights, answers_name_all_entries_when_all_capacities_are_equal_or_unknown)
{
    for (entry_capacity const& told : {entry_capacity{}, capacity(200, 1'000), capacity(1, 1)}) {
        members.clear();
        add_entries(40, told);
        LONGS_EQUAL(40, answer().size());
        add_entries(40, told);
        LONGS_EQUAL(max_chosen_entries, answer().size());
    }
}

TEST(entry_weights, answers_never_repeat_an_address_and_never_exceed_the_limit)
{
    add_entries(100, capacity(500, 200));
    add_entries(100, capacity(490, 190));
    for (int i = 0; i < 200; ++i) {
        std::vector<address> named = answer();
        LONGS_EQUAL(max_chosen_entries, named.size());
        std::sort(named.begin(), named.end());
        CHECK(std::adjacent_find(named.begin(), named.end()) == named.end());
    }
}

TEST(entry_weights, small_places_name_all_their_entries)
{
    add_entries(1, capacity(500, 200));
    LONGS_EQUAL(1, answer().size());
    add_entries(2, capacity(1, 1));
    for (int i = 0; i < 50; ++i)
        LONGS_EQUAL(3, answer().size());
}

TEST(entry_weights, a_huge_figure_draws_no_more_than_one_address_of_the_fewest)
{
    add_entries(1, capacity(4'000'000'000, 4'000'000));
    add_entries(9, capacity(200, 200));
    std::vector<double> const got = shares();
    CHECK(got[0] <= 1.0 / min_named_entries + 0.015);
    for (std::size_t i = 1; i < members.size(); ++i)
        DOUBLES_EQUAL(2.0 / min_named_entries / 9, got[i], 0.015);
}

TEST(entry_weights, only_one_known_figure_counts_alone)
{
    CHECK(entry_weights({{.capacity = {.core_thousandths = 300}},
                         {.capacity = {.core_thousandths = 300, .link_kbps = 1'000'000}}}) ==
          (std::vector<std::uint64_t>{300, 300}));
}

TEST(entry_weights, lost_and_stopping_entries_get_no_callers_however_strong)
{
    add_entries(4, capacity(100, 10));
    add_entries(2, capacity(500, 200));
    members[4].state = wire::member_state::lost;
    members[5].state = wire::member_state::stopping;
    std::vector<double> const got = shares();
    DOUBLES_EQUAL(0, got[4], 0);
    DOUBLES_EQUAL(0, got[5], 0);
    DOUBLES_EQUAL(0.25, got[0], 0.015);
}

TEST(entry_weights, strong_entries_of_other_places_are_not_named)
{
    add_entries(2, capacity(100, 10));
    add_entries(2, capacity(500, 200), "p2");
    std::vector<double> const got = shares();
    DOUBLES_EQUAL(0.5, got[0], 0.015);
    DOUBLES_EQUAL(0, got[2], 0);
}
