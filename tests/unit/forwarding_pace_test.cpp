// When the forwarding engine paces an upstream, and what it tells of that.
#include "tests/fakes/forwarding_harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP_BASE(forwarding_pace, forwarding_harness)
{
    std::map<upstream_name, known_upstream> upstreams;

    /// Starts an engine that has known its upstreams, of 16 slots each, for some time.
    void start_steady(unsigned count)
    {
        start(count);
        set_upstreams(count);
        advance_time(ms(4'000));
        engine->take_pace_changes();
    }

    void set_upstreams(unsigned count)
    {
        upstreams = sample_upstreams(count);
        for (auto& [name, known] : upstreams)
            known.registration.slots = slot_count(16);
        engine->update_upstreams(upstreams, now);
    }

    /// Sends as many requests as find a place at once. Returns their number.
    unsigned flood()
    {
        unsigned sent = 0;
        while (find_command<send_request>(submit("/read/x", ms(2'000))) != nullptr)
            ++sent;
        return sent;
    }

    /// True if the last change that the engine tells of began a pace for this reason.
    bool began_for(pace_reason reason)
    {
        auto const changes = engine->take_pace_changes();
        return !changes.empty() && changes.back().change.reason == reason &&
               changes.back().change.state == pace_state::rising;
    }
};

TEST(forwarding_pace, upstreams_that_the_entry_finds_at_its_start_are_not_paced)
{
    start(1);
    set_upstreams(1);
    LONGS_EQUAL(0, engine->paced_upstreams());
    LONGS_EQUAL(16, flood());
    advance_time(ms(200));
    CHECK(engine->take_pace_changes().empty());
    LONGS_EQUAL(0, engine->counters().held_back_by_pace);
}

TEST(forwarding_pace, upstream_that_joins_gets_few_requests_at_first_and_all_its_slots_later)
{
    start_steady(0);
    engine->update_upstreams(sample_upstreams(1), now);
    advance_time(ms(4'000));
    set_upstreams(2);
    LONGS_EQUAL(1, engine->paced_upstreams());
    unsigned const sent = flood();
    CHECK(sent > 16); // u1 is steady.
    CHECK(sent <= 16 + 3);
    CHECK(engine->counters().held_back_by_pace > 0);
    advance_time(ms(200));
    CHECK(began_for(pace_reason::started));
    for (std::uint64_t id = 1; id <= last_request; ++id)
        end_send(id, send_result::answered, 200);
    advance_time(ms(4'000));
    LONGS_EQUAL(0, engine->paced_upstreams());
    LONGS_EQUAL(32, flood());
}

TEST(forwarding_pace, upstream_that_restarts_is_paced)
{
    start_steady(1);
    upstreams.begin()->second.registration.started_ms = 77;
    engine->update_upstreams(upstreams, now);
    CHECK(flood() <= 3);
    advance_time(ms(200));
    CHECK(began_for(pace_reason::started));
}

TEST(forwarding_pace, upstream_is_paced_after_an_ejection)
{
    start_steady(1);
    submit("/read/x");
    end_send(last_request, send_result::not_connected);
    advance_time(ms(500));
    engine->handle_probe_report(upstream_name("u1"), {},
                                {.healthy = true, .cold_left = {}, .load = {}}, now);
    CHECK(flood() <= 3);
    advance_time(ms(200));
    CHECK(began_for(pace_reason::returned));
}

TEST(forwarding_pace, upstream_is_paced_after_a_long_pause_and_not_after_a_short_one)
{
    start_steady(1);
    engine->handle_notice(upstream_name("u1"), {}, {.leaving = false, .retry_after = ms(100)}, now);
    advance_time(ms(300));
    LONGS_EQUAL(0, engine->paced_upstreams());
    engine->handle_notice(upstream_name("u1"), {}, {.leaving = false, .retry_after = ms(900)}, now);
    advance_time(ms(800));
    LONGS_EQUAL(0, engine->paced_upstreams());
    advance_time(ms(250));
    LONGS_EQUAL(1, engine->paced_upstreams());
    CHECK(flood() <= 3);
    CHECK(began_for(pace_reason::pause_ended));
}

TEST(forwarding_pace, upstream_is_paced_after_an_evacuation)
{
    start_steady(1);
    upstreams.begin()->second.evacuated = true;
    engine->update_upstreams(upstreams, now);
    advance_time(ms(1'000));
    upstreams.begin()->second.evacuated = false;
    engine->update_upstreams(upstreams, now);
    CHECK(flood() <= 3);
    advance_time(ms(200));
    CHECK(began_for(pace_reason::evacuation));
}

TEST(forwarding_pace, changes_that_nobody_takes_are_bounded)
{
    start_steady(1);
    for (std::int64_t run = 1; run <= 300; ++run) {
        upstreams.begin()->second.registration.started_ms = run;
        engine->update_upstreams(upstreams, now);
        advance_time(ms(110));
    }
    LONGS_EQUAL(64, engine->take_pace_changes().size());
}
