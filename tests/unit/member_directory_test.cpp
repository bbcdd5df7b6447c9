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

    member_directory make(unsigned number, unsigned count, std::uint64_t incarnation)
    {
        member_directory directory(
            options, sample_member(number).instance,
            {.incarnation = incarnation_id(incarnation), .started_ms = incarnation}, now);
        directory.take_list(sample_members(count), now);
        directory.set_own(wire::member_state::serving, epoch_number(1), configuration_version(1));
        return directory;
    }
};

TEST(member_directory, heartbeat_makes_a_member_serve)
{
    member_directory a = make(0, 2, 10);
    member_directory b = make(1, 2, 11);
    CHECK(!view_of(a, 1).is_serving());
    a.take_heartbeat(b.make_heartbeat(), now);
    CHECK(view_of(a, 1).is_serving());
    LONGS_EQUAL(11, view_of(a, 1).incarnation.get());
}

TEST(member_directory, silent_member_is_lost_and_comes_back)
{
    member_directory a = make(0, 2, 10);
    member_directory b = make(1, 2, 11);
    a.take_heartbeat(b.make_heartbeat(), now);
    now += options.suspicion_timeout + ms(1);
    a.check_silence(now);
    CHECK(!view_of(a, 1).is_reachable());
    // Beats go on; two are needed, as the suspicion itself took a beat number.
    b.make_heartbeat();
    a.take_heartbeat(b.make_heartbeat(), now);
    CHECK(view_of(a, 1).is_serving());
}

TEST(member_directory, member_without_a_configuration_doesnt_serve)
{
    member_directory a = make(0, 2, 10);
    member_directory b = make(1, 2, 11);
    b.set_own(wire::member_state::serving, epoch_number(1), {});
    a.take_heartbeat(b.make_heartbeat(), now);
    CHECK(!view_of(a, 1).is_serving());
    CHECK(view_of(a, 1).is_reachable());
}

TEST(member_directory, stopping_is_not_lost)
{
    member_directory a = make(0, 2, 10);
    member_directory b = make(1, 2, 11);
    b.set_own(wire::member_state::stopping, epoch_number(1), configuration_version(1));
    a.take_heartbeat(b.make_heartbeat(), now);
    CHECK(!view_of(a, 1).is_serving());
    CHECK(view_of(a, 1).is_reachable());
}

TEST(member_directory, old_heartbeat_doesnt_undo_a_newer_one)
{
    member_directory a = make(0, 2, 10);
    member_directory b = make(1, 2, 11);
    wire::heartbeat const old = b.make_heartbeat();
    b.set_own(wire::member_state::stopping, epoch_number(2), {});
    a.take_heartbeat(b.make_heartbeat(), now);
    a.take_heartbeat(old, now);
    CHECK(!view_of(a, 1).is_serving());
    LONGS_EQUAL(2, view_of(a, 1).epoch.get());
}

TEST(member_directory, heartbeat_of_an_earlier_run_doesnt_replace_the_present_one)
{
    member_directory a = make(0, 2, 10);
    member_directory old_run = make(1, 2, 11);
    member_directory new_run = make(1, 2, 12);
    for (int i = 0; i < 5; ++i)
        old_run.make_heartbeat();
    a.take_heartbeat(new_run.make_heartbeat(), now);
    a.take_heartbeat(old_run.make_heartbeat(), now);
    LONGS_EQUAL(12, view_of(a, 1).incarnation.get());
}

TEST(member_directory, news_of_a_loss_spreads_and_the_living_refutes_it)
{
    member_directory a = make(0, 3, 10);
    member_directory b = make(1, 3, 11);
    member_directory c = make(2, 3, 12);
    a.take_heartbeat(b.make_heartbeat(), now);
    c.take_heartbeat(b.make_heartbeat(), now);
    now += options.suspicion_timeout + ms(1);
    a.check_silence(now);
    wire::heartbeat const news = a.make_heartbeat();
    c.take_heartbeat(news, now);
    b.take_heartbeat(news, now);
    c.take_heartbeat(b.make_heartbeat(), now);
    CHECK(view_of(c, 1).is_serving());
}

TEST(member_directory, unlisted_addresses_are_not_peers)
{
    member_directory a = make(0, 2, 10);
    CHECK(a.is_listed_peer(sample_member(1).peers));
    CHECK(!a.is_listed_peer({.ip = 101, .port = 8}));
    CHECK(!a.is_listed_peer(sample_member(5).peers));
}

TEST(member_directory, record_of_an_unlisted_instance_is_ignored)
{
    member_directory a = make(0, 2, 10);
    member_directory stranger = make(7, 9, 70);
    a.take_heartbeat(stranger.make_heartbeat(), now);
    LONGS_EQUAL(2, a.members().size());
}

TEST(member_directory, large_membership_is_watched_by_few)
{
    constexpr unsigned count = 200;
    member_directory a = make(0, count, 10);
    LONGS_EQUAL(options.ring_watchers, a.heartbeat_targets().size());
}
