#include "libraries/discovery/entries_news.hpp"
#include "libraries/wire/codec.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;

namespace {

listed_member entry(unsigned number)
{
    listed_member made;
    made.instance = instance_name("front-somewhere-" + std::to_string(number));
    made.place = place_name("somewhere");
    made.region = region_name("region");
    made.callers = {.ip = 0x0a010000U + number, .port = 8641};
    made.peers = {.ip = 0x0a010000U + number, .port = 7620};
    return made;
}

std::vector<listed_member> entries(unsigned count)
{
    std::vector<listed_member> made;
    for (unsigned i = 0; i < count; ++i)
        made.push_back(entry(i));
    return made;
}

} // namespace

TEST_GROUP(entries_news){};

TEST(entries_news, records_arrive_as_they_were_told)
{
    std::vector<listed_member> changed = entries(3);
    changed[1].leaving = true;
    wire::entries_news const news = make_entries_news(4, 9, changed);
    CHECK_EQUAL(4U, news.after);
    CHECK_EQUAL(9U, news.version);
    CHECK(news.complete);
    CHECK(entries_of(news) == changed);
}

TEST(entries_news, more_than_fit_are_told_as_incomplete)
{
    CHECK(make_entries_news(1, 2, entries(5)).complete);
    CHECK_FALSE(make_entries_news(1, 2, entries(6)).complete);
}

TEST(entries_news, the_fullest_one_fits_a_datagram)
{
    std::string const longest(63, 'n');
    std::vector<listed_member> all = entries(5);
    for (listed_member& each : all) {
        each.instance = instance_name(longest);
        each.place = place_name(longest);
        each.region = region_name(longest);
    }
    std::string const bytes = wire::encode(make_entries_news(1, 2, all));
    CHECK(bytes.size() <= wire::largest_datagram_bytes);
}
