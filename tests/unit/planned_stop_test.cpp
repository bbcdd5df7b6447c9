#include "tests/fakes/forwarding_harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// More than the margin that a request must leave to the end of the process.
constexpr duration ample_margin = std::chrono::milliseconds(300);

} // namespace

TEST_GROUP_BASE(planned_stop, forwarding_harness){
    /// Checks that the commands are one refusal that says "not run" and lets the caller return
    /// soon.
    void check_refused_as_not_run(forwarding_engine::commands const& commands){
        CHECK(find_command<send_request>(commands) == nullptr);
auto const* const refused = find_command<refuse_request>(commands);
CHECK(refused != nullptr);
LONGS_EQUAL(503, refused->status);
CHECK(refused->reason == refusal::stopping);
CHECK(refused->retry_after.has_value());
CHECK(*refused->retry_after <= ms(100));
}

/// Takes all slots of the engine's only upstream with one request.
void occupy_upstream(std::string const& path, duration time_left)
{
    CHECK(find_command<send_request>(submit(path, time_left)) != nullptr);
}
}
;

TEST(planned_stop, request_that_may_outlast_the_process_is_refused_and_never_sent)
{
    start(1);
    engine->begin_stop(now + ms(1'500), now);
    check_refused_as_not_run(submit("/pay/x", ms(1'600)));
    check_refused_as_not_run(submit("/read/x", ms(1'600)));
    LONGS_EQUAL(0, engine->requests_under_way());
    LONGS_EQUAL(2, engine->counters().refusals[static_cast<std::size_t>(refusal::stopping)]);
}

TEST(planned_stop, request_that_certainly_ends_before_the_process_is_served)
{
    start(1);
    engine->begin_stop(now + ms(1'500), now);
    CHECK(find_command<send_request>(submit("/pay/x", ms(1'500) - ample_margin)) != nullptr);
}

TEST(planned_stop, answer_at_the_deadline_must_still_reach_the_caller)
{
    start(1);
    engine->begin_stop(now + ms(1'500), now);
    check_refused_as_not_run(submit("/pay/x", ms(1'450)));
}

TEST(planned_stop, timeout_of_the_route_counts_as_the_latest_end_if_it_is_earlier)
{
    start(2);
    engine->begin_stop(now + ms(2'000) + ample_margin, now);
    CHECK(find_command<send_request>(submit("/pay/x", ms(8'000))) != nullptr);
    now += ample_margin;
    check_refused_as_not_run(submit("/pay/x", ms(8'000)));
}

TEST(planned_stop, request_without_a_deadline_ends_at_the_timeout_of_its_route)
{
    start(2);
    engine->begin_stop(now + ms(2'000) + ample_margin, now);
    auto request = make_request("/pay/x");
    request.time_left.reset();
    CHECK(find_command<send_request>(engine->submit(std::move(request), now)) != nullptr);
    now += ample_margin;
    auto late_request = make_request("/pay/x");
    late_request.time_left.reset();
    check_refused_as_not_run(engine->submit(std::move(late_request), now));
}

TEST(planned_stop, waiting_request_that_may_outlast_the_process_is_refused_when_the_stop_begins)
{
    start(1);
    occupy_upstream("/read/x", ms(2'000));
    CHECK(submit("/read/long", ms(2'000)).empty());
    CHECK(submit("/pay/short", ms(400)).empty());
    check_refused_as_not_run(engine->begin_stop(now + ms(1'000), now));
    LONGS_EQUAL(2, engine->requests_under_way());
    auto const sent = end_send(1, send_result::answered, 200);
    CHECK(find_command<send_request>(sent) != nullptr);
    LONGS_EQUAL(3, find_command<send_request>(sent)->id.get());
}

TEST(planned_stop, request_under_way_that_may_outlast_the_process_is_not_sent_again)
{
    start(2);
    occupy_upstream("/pay/x", ms(2'000));
    engine->begin_stop(now + ms(1'000), now);
    now += ms(100);
    auto const ended = end_send(1, send_result::shed);
    CHECK(find_command<send_request>(ended) == nullptr);
    LONGS_EQUAL(503, find_command<refuse_request>(ended)->status);
}

TEST(planned_stop, request_that_ends_in_time_is_sent_again)
{
    start(2);
    engine->begin_stop(now + ms(2'000), now);
    occupy_upstream("/pay/x", ms(1'000));
    now += ms(100);
    auto const ended = end_send(1, send_result::shed);
    CHECK(find_command<send_request>(ended) != nullptr);
    CHECK(find_command<send_request>(ended)->time_left == ms(900));
}

TEST(planned_stop, requests_under_way_are_answered_as_the_process_ends)
{
    start(1);
    occupy_upstream("/pay/x", ms(2'000));
    CHECK(submit("/pay/y", ms(2'000)).empty());
    auto const commands = engine->end_all_requests(now);
    LONGS_EQUAL(2, commands.size());
    for (forwarding_command const& each : commands) {
        auto const& answer = std::get<refuse_request>(each);
        LONGS_EQUAL(answer.id == request_id(1) ? 502 : 503, answer.status);
    }
    LONGS_EQUAL(0, engine->requests_under_way());
    CHECK(end_send(1, send_result::answered, 200).empty());
}

TEST(planned_stop, last_part_of_the_stop_takes_nothing_new_but_ends_what_was_taken)
{
    start(2);
    engine->begin_stop(now + ms(3'000), now);
    occupy_upstream("/pay/x", ms(1'000));
    engine->refuse_new_requests();
    check_refused_as_not_run(submit("/read/x", ms(100)));
    CHECK(find_command<send_request>(end_send(1, send_result::shed)) != nullptr);
}

TEST(planned_stop, requests_that_the_end_cuts_are_listed_from_the_oldest_without_answered_ones)
{
    start(1);
    occupy_upstream("/read/x", ms(100));
    now += ms(10);
    CHECK(submit("/read/waits").empty());
    now += ms(10);
    auto const listed = engine->oldest_requests_under_way(20, now);
    LONGS_EQUAL(2, listed.size());
    LONGS_EQUAL(1, listed[0].id.get());
    CHECK(listed[0].at_upstream);
    STRCMP_EQUAL("u1", listed[0].upstream.get().c_str());
    CHECK(listed[0].age == ms(20));
    CHECK(listed[0].time_left == ms(80));
    LONGS_EQUAL(2, listed[1].id.get());
    CHECK(!listed[1].at_upstream);
    LONGS_EQUAL(1, engine->oldest_requests_under_way(1, now).size());

    CHECK(find_command<refuse_request>(advance_time(ms(80))) != nullptr);
    auto const left = engine->oldest_requests_under_way(20, now);
    LONGS_EQUAL(1, left.size());
    LONGS_EQUAL(2, left[0].id.get());
}
