#include "libraries/discovery/entries_news.hpp"
#include "libraries/wire/codec.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/listed_members.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(entries_news){};

TEST(entries_news, records_arrive_as_they_were_told)
{
    std::vector<listed_member> changed = sample_members(3);
    changed[0].place = place_name("brest");
    changed[0].callers = {.ip = 5, .port = 8641};
    changed[1].leaving = true;
    wire::entries_news const news = make_entries_news(4, 9, changed);
    CHECK_EQUAL(4U, news.after);
    CHECK_EQUAL(9U, news.version);
    CHECK(news.complete);
    CHECK(entries_of(news) == changed);
}

TEST(entries_news, more_than_fit_are_told_as_incomplete)
{
    CHECK(make_entries_news(1, 2, sample_members(5)).complete);
    CHECK_FALSE(make_entries_news(1, 2, sample_members(6)).complete);
}

TEST(entries_news, the_fullest_one_fits_a_datagram)
{
    std::string const longest(63, 'n');
    std::vector<listed_member> all = sample_members(5);
    for (listed_member& each : all) {
        each.instance = instance_name(longest);
        each.place = place_name(longest);
        each.region = region_name(longest);
    }
    std::string const bytes = wire::encode(make_entries_news(1, 2, all));
    CHECK(bytes.size() <= wire::largest_datagram_bytes);
}
