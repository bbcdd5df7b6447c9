#include "libraries/membership/leaving_upstream_tracker.hpp"
#include "platform/platform_dialect.hpp"

#include "tests/fakes/forwarding_harness.hpp"
#include "tests/fakes/positioned_registry.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

upstream_incarnation const first_start(100);
upstream_incarnation const second_start(200);
upstream_name const u1("u1");

/// The sample upstreams with u1 started at the given time.
std::map<upstream_name, known_upstream> upstreams_with(unsigned count, upstream_incarnation start)
{
    auto upstreams = sample_upstreams(count);
    upstreams.at(u1).registration.started_ms = start.get();
    return upstreams;
}

registration_change registered(upstream_incarnation start, std::int64_t heartbeat = 1,
                               upstream_state state = upstream_state::ready)
{
    upstream_registration registration = sample_upstream(1).registration;
    registration.started_ms = start.get();
    registration.heartbeat = heartbeat;
    registration.state = state;
    return {.name = registration.name, .registration = registration};
}

} // namespace

TEST_GROUP_BASE(upstream_leaving, forwarding_harness)
{
    positioned_registry registry{{}, {{place_name("p"), region_name("r")}}};
    platform::platform_dialect dialect;

    void start_with_one_upstream()
    {
        start(0);
        engine->update_upstreams(upstreams_with(1, first_start), now);
    }

    bool sends_new_request()
    {
        return find_command<send_request>(submit("/read/x")) != nullptr;
    }

    /// Lets the grace period for lost registrations and the retention of removed upstreams pass.
    void forget_removed_upstreams()
    {
        for (int i = 0; i < 2; ++i) {
            now += ms(40'000);
            registry.expire(now);
        }
        CHECK(registry.upstreams().empty());
    }

    bool registry_uses_u1() const
    {
        auto const found = registry.upstreams().find(u1);
        return found != registry.upstreams().end() && found->second.is_usable();
    }
};

TEST(upstream_leaving, header_is_read_from_answers_of_any_status_but_another_instance)
{
    for (int const status : {200, 404, 500, 503}) {
        http1::message_head const head{.status = status,
                                       .headers = {{.name = "server-leaving", .value = "1"}}};
        CHECK(dialect.read_notice(head).leaving);
    }
    CHECK(
        !dialect.read_notice({.status = 421, .headers = {{.name = "server-leaving", .value = "1"}}})
             .leaving);
    CHECK(
        !dialect.read_notice({.status = 200, .headers = {{.name = "server-leaving", .value = "0"}}})
             .leaving);
}

TEST(upstream_leaving, notice_takes_effect_at_once_and_is_announced_once)
{
    start_with_one_upstream();
    CHECK(sends_new_request());
    auto const noticed = engine->handle_notice(u1, first_start, {.leaving = true}, now);
    auto const* const announced = find_command<announce_upstream_leaving>(noticed);
    CHECK(announced != nullptr);
    CHECK(announced->incarnation == first_start);
    CHECK(engine->handle_notice(u1, first_start, {.leaving = true}, now).empty());
    end_send(1, send_result::answered, 200);
    CHECK(!sends_new_request());
}

TEST(upstream_leaving, waiting_requests_are_refused_when_the_last_upstream_leaves)
{
    start_with_one_upstream();
    submit("/read/x");
    submit("/read/y");
    auto const noticed = engine->handle_notice(u1, first_start, {.leaving = true}, now);
    auto const* const refused = find_command<refuse_request>(noticed);
    CHECK(refused != nullptr);
    LONGS_EQUAL(2, refused->id.get());
    LONGS_EQUAL(503, refused->status);
    CHECK(refused->reason == refusal::no_upstream);
    CHECK(find_command<deliver_answer>(end_send(1, send_result::answered, 200)) != nullptr);
}

TEST(upstream_leaving, registry_state_from_before_the_notice_does_not_undo_it)
{
    start_with_one_upstream();
    engine->handle_notice(u1, first_start, {.leaving = true}, now);
    engine->update_upstreams(upstreams_with(1, first_start), now);
    CHECK(!sends_new_request());
    engine->update_upstreams(upstreams_with(1, second_start), now);
    CHECK(sends_new_request());
}

TEST(upstream_leaving, notice_of_an_earlier_incarnation_does_not_affect_the_present_one)
{
    start_with_one_upstream();
    submit("/read/x");
    engine->update_upstreams(upstreams_with(1, second_start), now);
    CHECK(engine->handle_notice(u1, first_start, {.leaving = true}, now).empty());
    end_send(1, send_result::not_connected);
    CHECK(sends_new_request());
}

TEST(upstream_leaving, notice_counts_also_when_its_answer_is_discarded)
{
    start_with_one_upstream();
    submit("/pay/x", ms(50));
    advance_time(ms(60)); // The caller has got a 504.
    engine->handle_notice(u1, first_start, {.leaving = true}, now);
    end_send(1, send_result::answered, 200);
    CHECK(!sends_new_request());
}

TEST(upstream_leaving, mark_in_the_registry_survives_a_ready_row_and_a_lost_registration)
{
    registry.apply_snapshot({registered(first_start)}, now);
    CHECK(registry.mark_leaving(u1, first_start, now));
    registry.apply_changes({registered(first_start, 2)}, now);
    CHECK(!registry_uses_u1());
    registry.apply_changes({{.name = u1, .registration = {}}}, now);
    forget_removed_upstreams();
    registry.apply_changes({registered(first_start, 3)}, now);
    CHECK(!registry_uses_u1());
    registry.apply_changes({registered(second_start)}, now);
    CHECK(registry_uses_u1());
}

TEST(upstream_leaving, draining_row_is_remembered_when_the_registration_is_lost)
{
    registry.apply_snapshot({registered(first_start, 1, upstream_state::draining)}, now);
    registry.apply_changes({{.name = u1, .registration = {}}}, now);
    forget_removed_upstreams();
    registry.apply_changes({registered(first_start, 3)}, now);
    CHECK(!registry_uses_u1());
}

TEST(upstream_leaving, restarted_entry_that_reads_an_old_row_learns_the_mark_from_a_peer)
{
    leaving_upstream_tracker peer;
    peer.record_leaving({.upstream = u1, .incarnation = first_start, .reported_at = now}, now);
    now += ms(2'000);
    wire::heartbeat beat;
    peer.append_to_heartbeat(beat, now);
    leaving_upstream_tracker restarted;
    // The report may arrive before the registry has been read.
    for (leaving_report const& each : restarted.record_leaving(beat, now))
        CHECK(!registry.mark_leaving(each.upstream, each.incarnation, now));
    registry.apply_snapshot({registered(first_start)}, now);
    CHECK(!registry_uses_u1());
    CHECK(restarted.last_reports().at(u1).reported_at == now - ms(2'000));
}

TEST(upstream_leaving, report_of_an_earlier_incarnation_does_not_mark_a_restarted_upstream)
{
    registry.apply_snapshot({registered(second_start)}, now);
    CHECK(!registry.mark_leaving(u1, first_start, now));
    CHECK(registry_uses_u1());
    CHECK(registry.mark_leaving(u1, second_start, now));
    CHECK(!registry_uses_u1());

    leaving_upstream_tracker tracker;
    CHECK(tracker.record_leaving({.upstream = u1, .incarnation = second_start, .reported_at = now},
                                 now));
    CHECK(!tracker.record_leaving({.upstream = u1, .incarnation = first_start, .reported_at = now},
                                  now));
    CHECK(tracker.last_reports().at(u1).incarnation == second_start);
}
