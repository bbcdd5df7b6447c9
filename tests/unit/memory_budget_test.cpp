#include "libraries/http1/memory_budget.hpp"

#include "tests/fakes/harness.hpp"

#include <algorithm>
#include <initializer_list>
#include <list>
#include <memory>

using namespace burdockstep;
using namespace burdockstep::http1;

namespace {

constexpr std::size_t kib = 1'024;
constexpr std::size_t max_bytes = 1'024 * kib;
constexpr std::size_t max_large_bytes = max_bytes - max_bytes / 8;
constexpr unsigned samples_per_second = 1'000 / memory_budget::sample_interval_ms;

/// A connection whose peer moves bytes when the test says so.
struct fake_holder final : memory_holder
{
    explicit fake_holder(memory_budget& budget) : charge(budget.open_account(*this)) {}

    std::uint64_t moved_bytes() const override { return moved; }
    bool awaits_peer() const override { return is_peers_turn; }
    void give_up() override
    {
        given_up = true;
        if (frees_at_once)
            charge.resize(0);
    }

    memory_charge charge;
    std::uint64_t moved = 0;
    bool is_peers_turn = true;
    bool frees_at_once = true;
    bool given_up = false;
};

} // namespace

TEST_GROUP(memory_budget)
{
    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(memory_budget_options{
        .max_bytes = max_bytes, .max_connections = 4, .max_connections_to_accept = 3});
    std::list<fake_holder> holders;

    fake_holder& add_holder(std::size_t bytes)
    {
        fake_holder& added = holders.emplace_back(*budget);
        CHECK(added.charge.try_resize(bytes));
        return added;
    }

    /// All peers but those given move everything that is held for them.
    void pass_one_second(std::initializer_list<fake_holder*> slow_holders)
    {
        for (unsigned i = 0; i < samples_per_second; ++i) {
            for (fake_holder& each : holders) {
                if (std::find(slow_holders.begin(), slow_holders.end(), &each) ==
                    slow_holders.end())
                    each.moved += each.charge.bytes() + 1;
            }
            budget->sample();
        }
    }
};

TEST(memory_budget, what_does_not_fit_is_refused_and_changes_nothing)
{
    fake_holder& first = add_holder(max_large_bytes);
    fake_holder& second = add_holder(0);
    CHECK(!second.charge.try_resize(65 * kib));
    LONGS_EQUAL(0, second.charge.bytes());
    CHECK(!first.charge.try_resize(max_large_bytes + 1));
    LONGS_EQUAL(max_large_bytes, budget->used_bytes());
    LONGS_EQUAL(2, budget->counters().refused_bytes);
}

TEST(memory_budget, small_accounts_have_room_beside_large_ones)
{
    add_holder(max_large_bytes);
    fake_holder& small = add_holder(64 * kib);
    LONGS_EQUAL(64 * kib, small.charge.bytes());
    CHECK(!small.charge.try_resize(64 * kib + 1));
}

TEST(memory_budget, bytes_are_free_again_when_their_charge_ends)
{
    fake_holder& first = add_holder(max_large_bytes);
    {
        memory_charge const part = first.charge.split(max_large_bytes / 2);
        LONGS_EQUAL(max_large_bytes, budget->used_bytes());
    }
    LONGS_EQUAL(max_large_bytes - max_large_bytes / 2, budget->used_bytes());
    add_holder(max_large_bytes / 2);
}

TEST(memory_budget, the_slow_connection_with_the_most_bytes_is_given_up)
{
    fake_holder& small = add_holder(100 * kib);
    fake_holder& large = add_holder(300 * kib);
    fake_holder& largest = add_holder(400 * kib);
    fake_holder& asking = add_holder(0);
    pass_one_second({&small, &large});
    CHECK(asking.charge.try_resize(200 * kib));
    CHECK(large.given_up);
    CHECK(!small.given_up);
    CHECK(!largest.given_up);
    LONGS_EQUAL(1, budget->counters().given_up);
}

TEST(memory_budget, connections_that_make_progress_are_kept)
{
    fake_holder& held = add_holder(320 * kib);
    fake_holder& other = add_holder(512 * kib);
    // A 32nd of what is held in each second.
    for (unsigned i = 0; i < 4 * samples_per_second; ++i) {
        held.moved += 10 * kib / samples_per_second;
        other.moved += 16 * kib / (samples_per_second - 1);
        budget->sample();
    }
    fake_holder& asking = add_holder(0);
    CHECK(!asking.charge.try_resize(100 * kib));
    CHECK(!held.given_up);
    CHECK(!other.given_up);
}

TEST(memory_budget, single_bytes_are_no_progress_for_a_large_holder)
{
    fake_holder& dripping = add_holder(max_large_bytes);
    for (unsigned i = 0; i < 2 * samples_per_second; ++i) {
        ++dripping.moved;
        budget->sample();
    }
    fake_holder& asking = add_holder(0);
    CHECK(asking.charge.try_resize(100 * kib));
    CHECK(dripping.given_up);
}

TEST(memory_budget, a_connection_that_has_just_become_active_is_kept)
{
    fake_holder& active = add_holder(320 * kib);
    fake_holder& quiet = add_holder(512 * kib);
    pass_one_second({&active, &quiet});
    active.moved += 64 * kib;
    fake_holder& asking = add_holder(0);
    CHECK(asking.charge.try_resize(300 * kib));
    CHECK(quiet.given_up);
    CHECK(!asking.charge.try_resize(700 * kib));
    CHECK(!active.given_up);
}

TEST(memory_budget, connections_that_wait_for_this_process_are_kept)
{
    fake_holder& waiting = add_holder(max_large_bytes);
    waiting.is_peers_turn = false;
    pass_one_second({&waiting});
    fake_holder& asking = add_holder(0);
    CHECK(!asking.charge.try_resize(100 * kib));
    CHECK(!waiting.given_up);
}

TEST(memory_budget, bytes_of_given_up_connections_may_overlap_for_a_moment)
{
    fake_holder& slow = add_holder(max_large_bytes);
    slow.frees_at_once = false;
    pass_one_second({&slow});
    fake_holder& asking = add_holder(0);
    CHECK(asking.charge.try_resize(200 * kib));
    CHECK(slow.given_up);
    CHECK(!asking.charge.try_resize(700 * kib));
    slow.charge.resize(0);
    CHECK(asking.charge.try_resize(700 * kib));
}

TEST(memory_budget, charges_may_outlive_their_connection)
{
    auto holder = std::make_unique<fake_holder>(*budget);
    CHECK(holder->charge.try_resize(100 * kib));
    auto const account = budget->open_account(*holder);
    memory_charge charge(account);
    charge.resize(50 * kib);
    account->detach();
    LONGS_EQUAL(150 * kib, budget->used_bytes());
    pass_one_second({});
    charge = {};
    LONGS_EQUAL(100 * kib, budget->used_bytes());
}

TEST(memory_budget, connections_are_accepted_up_to_their_limit_and_opened_beyond_it)
{
    for (int i = 0; i < 3; ++i) {
        CHECK(budget->try_accept_connection());
        add_holder(0);
    }
    CHECK(!budget->try_accept_connection());
    CHECK(budget->try_open_connection());
    add_holder(0);
    CHECK(!budget->try_open_connection());
    LONGS_EQUAL(2, budget->counters().refused_connections);
}

TEST(memory_budget, the_connection_without_progress_for_longest_makes_room_for_a_new_one)
{
    fake_holder& quiet = add_holder(0);
    fake_holder& busy = add_holder(0);
    pass_one_second({&quiet});
    fake_holder& lately_quiet = add_holder(0);
    pass_one_second({&quiet, &lately_quiet});
    CHECK(budget->try_accept_connection());
    CHECK(quiet.given_up);
    CHECK(!busy.given_up);
    CHECK(!lately_quiet.given_up);
    LONGS_EQUAL(2, budget->connections());
}

TEST(memory_budget, a_charge_that_shrinks_while_it_grows_is_counted_once)
{
    fake_holder& growing = add_holder(600 * kib);
    fake_holder& slow = add_holder(200 * kib);
    struct shrinking_holder final : memory_holder
    {
        std::uint64_t moved_bytes() const override { return 0; }
        bool awaits_peer() const override { return true; }
        void give_up() override
        {
            own.resize(0);
            other->resize(0);
        }
        memory_charge own;
        memory_charge* other = nullptr;
    } reentrant;
    reentrant.own = memory_charge(budget->open_account(reentrant));
    reentrant.other = &growing.charge;
    CHECK(reentrant.own.try_resize(90 * kib));
    slow.is_peers_turn = false;
    pass_one_second({});
    CHECK(growing.charge.try_resize(690 * kib));
    growing.charge.resize(0);
    slow.charge.resize(0);
    LONGS_EQUAL(0, budget->used_bytes());
}

TEST(memory_budget, a_peer_whose_turn_begins_has_a_second_to_make_progress)
{
    fake_holder& waiting = add_holder(500 * kib);
    waiting.is_peers_turn = false;
    pass_one_second({&waiting});
    waiting.is_peers_turn = true;
    fake_holder& other = holders.emplace_back(*budget);
    CHECK(!other.charge.try_resize(500 * kib));
    CHECK(!waiting.given_up);
    pass_one_second({&waiting});
    CHECK(other.charge.try_resize(500 * kib));
    CHECK(waiting.given_up);
}
