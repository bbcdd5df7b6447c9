#include "libraries/membership/member_directory.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/listed_members.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

member_view view_of(member_directory const& directory, unsigned number)
{
    for (member_view const& each : directory.members()) {
        if (each.listed.instance == sample_member(number).instance)
            return each;
    }
    return {};
}

} // namespace

TEST_GROUP(member_directory)
{
    time_point now = start_time();
    membership_options options;

    member_directory make_directory(unsigned number, unsigned count, std::uint64_t incarnation)
    {
        member_directory directory(
            options, sample_member(number).instance,
            {.incarnation = incarnation_id(incarnation), .started_ms = incarnation}, now);
        directory.apply_list(sample_members(count), now);
        directory.set_own_state(wire::member_state::serving, epoch_number(1),
                                configuration_version(1));
        return directory;
    }
};

TEST(member_directory, member_serves_after_its_first_heartbeat)
{
    member_directory first = make_directory(0, 2, 10);
    member_directory second = make_directory(1, 2, 11);
    CHECK(!view_of(first, 1).is_serving());
    first.handle_heartbeat(second.make_heartbeat(), now);
    CHECK(view_of(first, 1).is_serving());
    LONGS_EQUAL(11, view_of(first, 1).incarnation.get());
}

TEST(member_directory, silent_member_is_lost_until_it_is_heard_again)
{
    member_directory first = make_directory(0, 2, 10);
    member_directory second = make_directory(1, 2, 11);
    first.handle_heartbeat(second.make_heartbeat(), now);
    now += options.suspicion_timeout + ms(1);
    first.mark_silent_as_lost(now);
    CHECK(!view_of(first, 1).is_reachable());
    // Two more heartbeats are needed: marking the member as lost used up one beat number.
    second.make_heartbeat();
    first.handle_heartbeat(second.make_heartbeat(), now);
    CHECK(view_of(first, 1).is_serving());
}

TEST(member_directory, member_without_a_configuration_is_not_serving)
{
    member_directory first = make_directory(0, 2, 10);
    member_directory second = make_directory(1, 2, 11);
    second.set_own_state(wire::member_state::serving, epoch_number(1), {});
    first.handle_heartbeat(second.make_heartbeat(), now);
    CHECK(!view_of(first, 1).is_serving());
    CHECK(view_of(first, 1).is_reachable());
}

TEST(member_directory, stopping_member_is_reachable_but_not_serving)
{
    member_directory first = make_directory(0, 2, 10);
    member_directory second = make_directory(1, 2, 11);
    second.set_own_state(wire::member_state::stopping, epoch_number(1), configuration_version(1));
    first.handle_heartbeat(second.make_heartbeat(), now);
    CHECK(!view_of(first, 1).is_serving());
    CHECK(view_of(first, 1).is_reachable());
}

TEST(member_directory, older_heartbeat_does_not_override_a_newer_one)
{
    member_directory first = make_directory(0, 2, 10);
    member_directory second = make_directory(1, 2, 11);
    wire::heartbeat const older_heartbeat = second.make_heartbeat();
    second.set_own_state(wire::member_state::stopping, epoch_number(2), {});
    first.handle_heartbeat(second.make_heartbeat(), now);
    first.handle_heartbeat(older_heartbeat, now);
    CHECK(!view_of(first, 1).is_serving());
    LONGS_EQUAL(2, view_of(first, 1).epoch.get());
}

TEST(member_directory, heartbeat_of_an_earlier_run_is_ignored)
{
    member_directory first = make_directory(0, 2, 10);
    member_directory old_run = make_directory(1, 2, 11);
    member_directory new_run = make_directory(1, 2, 12);
    for (int i = 0; i < 5; ++i)
        old_run.make_heartbeat();
    first.handle_heartbeat(new_run.make_heartbeat(), now);
    first.handle_heartbeat(old_run.make_heartbeat(), now);
    LONGS_EQUAL(12, view_of(first, 1).incarnation.get());
}

TEST(member_directory, loss_report_spreads_and_the_live_member_refutes_it)
{
    member_directory first = make_directory(0, 3, 10);
    member_directory second = make_directory(1, 3, 11);
    member_directory third = make_directory(2, 3, 12);
    first.handle_heartbeat(second.make_heartbeat(), now);
    third.handle_heartbeat(second.make_heartbeat(), now);
    now += options.suspicion_timeout + ms(1);
    first.mark_silent_as_lost(now);
    wire::heartbeat const loss_report = first.make_heartbeat();
    third.handle_heartbeat(loss_report, now);
    second.handle_heartbeat(loss_report, now);
    third.handle_heartbeat(second.make_heartbeat(), now);
    CHECK(view_of(third, 1).is_serving());
}

TEST(member_directory, unlisted_addresses_are_not_peers)
{
    member_directory first = make_directory(0, 2, 10);
    CHECK(first.is_listed_peer(sample_member(1).peers));
    CHECK(!first.is_listed_peer({.ip = 101, .port = 8}));
    CHECK(!first.is_listed_peer(sample_member(5).peers));
}

TEST(member_directory, record_of_an_unlisted_instance_is_ignored)
{
    member_directory first = make_directory(0, 2, 10);
    member_directory unlisted_directory = make_directory(7, 9, 70);
    first.handle_heartbeat(unlisted_directory.make_heartbeat(), now);
    LONGS_EQUAL(2, first.members().size());
}

TEST(member_directory, member_of_a_large_membership_has_few_watchers)
{
    constexpr unsigned count = 200;
    member_directory first = make_directory(0, count, 10);
    LONGS_EQUAL(options.watchers_per_entry, first.heartbeat_targets().size());
}
