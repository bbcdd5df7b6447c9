#include "platform/platform_dialect.hpp"

#include "tests/fakes/forwarding_harness.hpp"

#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

upstream_name const u1("u1");
upstream_name const u2("u2");

} // namespace

TEST_GROUP_BASE(upstream_retry_after, forwarding_harness)
{
    platform::platform_dialect dialect;

    upstream_notice read(char const* retry_after, int status = 503)
    {
        return dialect.read_notice(
            {.status = status, .headers = {{.name = "retry-after", .value = retry_after}}});
    }

    forwarding_engine::commands pause(upstream_name const& upstream, duration span)
    {
        return engine->handle_notice(upstream, {}, {.retry_after = span}, now);
    }

    bool sends_new_request()
    {
        auto const sent = submit("/pay/x");
        bool const was_sent = find_command<send_request>(sent) != nullptr;
        if (was_sent)
            end_send(last_request, send_result::answered, 200);
        return was_sent;
    }
};

TEST(upstream_retry_after, header_is_read_in_seconds_with_fractions_and_bounded)
{
    struct reading
    {
        char const* header;
        std::optional<duration> pause;
        bool is_unusable;
    };
    for (reading const& each :
         {reading{"2", ms(2'000), false}, reading{"0.25", ms(250), false},
          reading{"1e300", std::chrono::minutes(5), true},
          reading{"999999999999999999999", std::chrono::minutes(5), true},
          reading{"inf", std::chrono::minutes(5), true}, reading{"nan", std::nullopt, true},
          reading{"-3", std::nullopt, true}, reading{"0", std::nullopt, false},
          reading{"Wed, 21 Oct 2026 07:28:00 GMT", std::nullopt, true},
          reading{"", std::nullopt, true}}) {
        upstream_notice const notice = read(each.header);
        CHECK_TEXT(notice.retry_after == each.pause, each.header);
        CHECK_TEXT(notice.has_unusable_pause == each.is_unusable, each.header);
    }
    CHECK(read("2", 200).is_empty());
    CHECK(read("2", 421).is_empty());
}

TEST(upstream_retry_after, paused_upstream_gets_no_requests_until_the_end)
{
    start(1);
    submit("/pay/x");
    pause(u1, ms(1'000));
    end_send(1, send_result::shed, 503);
    auto const held = submit("/pay/y");
    CHECK(find_command<send_request>(held) == nullptr);
    CHECK(find_command<send_request>(advance_time(ms(990))) == nullptr);
    submit("/pay/z"); // Waits for the end of the pause, which is near.
    CHECK(find_command<send_request>(advance_time(ms(9))) == nullptr);
    CHECK(find_command<send_request>(advance_time(ms(20))) != nullptr);
}

TEST(upstream_retry_after, several_pauses_end_with_the_latest_end)
{
    struct requested_pause
    {
        duration at;
        duration span;
    };
    struct sequence
    {
        std::vector<requested_pause> pauses;
        duration end;
    };
    for (sequence const& each :
         {sequence{{{ms(0), ms(500)}}, ms(500)},
          sequence{{{ms(0), ms(500)}, {ms(100), ms(900)}}, ms(1'000)},
          // An answer with a shorter pause may have been overtaken by one with a longer pause.
          sequence{{{ms(0), ms(900)}, {ms(100), ms(100)}}, ms(900)},
          sequence{{{ms(0), ms(300)}, {ms(100), ms(300)}, {ms(200), ms(300)}}, ms(500)}}) {
        start(1);
        time_point const begin = now;
        for (requested_pause const& requested : each.pauses) {
            advance_time(begin + requested.at - now);
            pause(u1, requested.span);
        }
        advance_time(begin + each.end - ms(1) - now);
        CHECK(!sends_new_request());
        advance_time(ms(1));
        CHECK(sends_new_request());
    }
}

TEST(upstream_retry_after, paused_and_ejected_upstream_is_not_probed_until_the_end)
{
    start(1);
    submit("/read/x");
    pause(u1, ms(2'000));
    end_send(1, send_result::not_connected);
    CHECK(find_command<probe_upstream>(advance_time(ms(1'990))) == nullptr);
    CHECK(find_command<probe_upstream>(advance_time(ms(300))) != nullptr);
}

TEST(upstream_retry_after, pause_ends_with_the_incarnation_that_asked_for_it)
{
    start(1);
    pause(u1, ms(60'000));
    CHECK(!sends_new_request());
    auto restarted = sample_upstreams(1);
    restarted.at(u1).registration.started_ms = 7;
    engine->update_upstreams(restarted, now);
    CHECK(sends_new_request());
}

TEST(upstream_retry_after, request_goes_to_another_upstream_while_one_is_paused)
{
    start(2);
    auto const first = submit("/pay/x");
    upstream_name const first_upstream = find_command<send_request>(first)->upstream;
    pause(first_upstream, ms(1'000));
    auto const again = end_send(1, send_result::shed, 503);
    CHECK(find_command<send_request>(again) != nullptr);
    CHECK(find_command<send_request>(again)->upstream != first_upstream);
}

TEST(upstream_retry_after, request_is_refused_at_once_when_all_upstreams_are_paused_for_too_long)
{
    start(2);
    pause(u1, ms(400));
    pause(u2, ms(700));
    auto const refused = submit("/pay/x", ms(2'000));
    auto const* const refusal = find_command<refuse_request>(refused);
    CHECK(refusal != nullptr);
    LONGS_EQUAL(503, refusal->status);
    CHECK(refusal->reason == refusal::upstreams_paused);
    // The caller is told to return when the first upstream accepts requests again.
    CHECK(*refusal->retry_after >= ms(400));
    CHECK(*refusal->retry_after <= ms(600));
}

TEST(upstream_retry_after, waiting_requests_are_refused_when_the_last_upstream_is_paused)
{
    start(1);
    submit("/read/x");
    submit("/read/y");
    auto const noticed = pause(u1, ms(5'000));
    auto const* const refusal = find_command<refuse_request>(noticed);
    CHECK(refusal != nullptr);
    LONGS_EQUAL(2, refusal->id.get());
    CHECK(refusal->reason == refusal::upstreams_paused);
}

TEST(upstream_retry_after, request_waits_for_a_pause_that_ends_in_time)
{
    start(1);
    pause(u1, ms(30));
    auto const held = submit("/read/x");
    CHECK(find_command<refuse_request>(held) == nullptr);
    CHECK(find_command<send_request>(advance_time(ms(60))) != nullptr);
}
