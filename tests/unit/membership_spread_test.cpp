#include "tests/fakes/harness.hpp"
#include "tests/fakes/member_network.hpp"

#include <functional>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// Within this time after it ended, an entry must not be named by others any more.
constexpr duration forget_limit = std::chrono::seconds(6);
constexpr duration settle_time = std::chrono::seconds(5);
constexpr duration stop_gap = std::chrono::milliseconds(500);

/// A number of entries, and how many sets of names are simulated with it.
struct simulated_size
{
    unsigned entries = 0;
    unsigned name_sets = 0;
};

constexpr simulated_size sizes[] = {{18, 4}, {72, 2}};

void stop_half(member_network& network)
{
    std::size_t const half = network.size() / 2;
    for (std::size_t entry = 0; entry < half; ++entry) {
        network.stop(2 * entry);
        network.run_for(stop_gap);
    }
    network.run_for(std::chrono::seconds(2));
}

/// Calls `play` with networks of all sizes and sets of names, after they have settled.
void with_each_network(std::function<void(member_network&)> const& play)
{
    for (simulated_size const& size : sizes) {
        for (unsigned name_set = 0; name_set < size.name_sets; ++name_set) {
            member_network network(size.entries + name_set, 100 * name_set + 10);
            network.start(size.entries);
            network.run_for(settle_time);
            LONGS_EQUAL(0, network.count_running_that_are_not_named());
            play(network);
        }
    }
}

} // namespace

TEST_GROUP(membership_spread){};

// Guards against look-ups that name entries which were removed as planned, long after their end.
TEST(membership_spread, removed_entries_are_not_named)
{
    with_each_network([](member_network& network) {
        stop_half(network);
        network.run_for(forget_limit - std::chrono::seconds(2));
        LONGS_EQUAL(0, network.count_ended_that_are_named());
        LONGS_EQUAL(0, network.count_running_that_are_not_named());
    });
}

// Guards against watchers that are all gone with the entries they watch.
TEST(membership_spread, entries_that_end_together_without_notice_are_not_named)
{
    with_each_network([](member_network& network) {
        for (std::size_t entry = 0; entry < network.size() / 2; ++entry)
            network.end(entry);
        network.run_for(forget_limit);
        LONGS_EQUAL(0, network.count_ended_that_are_named());
        LONGS_EQUAL(0, network.count_running_that_are_not_named());
    });
}

// Guards against an entry that starts among names of ended ones and doesn't learn of the others.
TEST(membership_spread, entry_that_starts_after_removals_names_all_that_run)
{
    with_each_network([](member_network& network) {
        stop_half(network);
        network.run_for(settle_time);
        network.restart(0);
        network.start(1);
        network.run_for(settle_time);
        LONGS_EQUAL(0, network.count_ended_that_are_named());
        LONGS_EQUAL(0, network.count_running_that_are_not_named());
    });
}

// Guards against the loss of an entry that is only cut off, and against a cut entry's view of the
// others that spreads when it returns.
TEST(membership_spread, entry_that_was_cut_off_is_named_again_and_the_others_all_the_while)
{
    with_each_network([](member_network& network) {
        network.set_cut([](std::size_t from, std::size_t to) { return from == 3 || to == 3; });
        network.run_for(forget_limit);
        for (std::size_t observer = 4; observer < network.size(); ++observer)
            CHECK(!network.names(observer, 3));
        network.heal();
        for (int step = 0; step < 80; ++step) {
            network.run_for(ms(50));
            for (std::size_t observer = 4; observer < network.size(); ++observer)
                CHECK(network.names(observer, 4 + (observer + 1) % (network.size() - 4)));
        }
        LONGS_EQUAL(0, network.count_running_that_are_not_named());
    });
}

// Guards against two halves that consider each other lost for good.
TEST(membership_spread, separated_halves_name_each_other_again)
{
    with_each_network([](member_network& network) {
        network.set_cut([](std::size_t from, std::size_t to) { return from % 2 != to % 2; });
        network.run_for(std::chrono::seconds(8));
        network.heal();
        network.run_for(std::chrono::seconds(5));
        LONGS_EQUAL(0, network.count_running_that_are_not_named());
    });
}

// Guards against one entry's report that removes an entry which all others reach.
TEST(membership_spread, entry_that_only_one_other_cannot_reach_stays_named)
{
    with_each_network([](member_network& network) {
        network.set_cut([](std::size_t from, std::size_t to) {
            return (from == 3 && to == 4) || (from == 4 && to == 3);
        });
        for (int step = 0; step < 60; ++step) {
            network.run_for(ms(100));
            for (std::size_t observer = 5; observer < network.size(); ++observer)
                CHECK(network.names(observer, 3) && network.names(observer, 4));
        }
    });
}

// Guards against a loss of the former run that is taken for one of the run that replaced it.
TEST(membership_spread, entry_that_restarts_at_once_is_named)
{
    with_each_network([](member_network& network) {
        for (std::size_t entry = 0; entry < network.size(); entry += 3) {
            network.end(entry);
            network.run_for(ms(1'300));
            network.restart(entry);
            network.run_for(ms(300));
        }
        network.run_for(std::chrono::seconds(2));
        LONGS_EQUAL(0, network.count_running_that_are_not_named());
    });
}
