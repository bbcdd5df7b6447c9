#include "libraries/forwarding/forwarding_engine.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

template <class Command>
Command const* find_command(std::vector<forwarding_command> const& commands)
{
    for (forwarding_command const& each : commands) {
        if (auto const* const found = std::get_if<Command>(&each))
            return found;
    }
    return nullptr;
}

} // namespace

TEST_GROUP(forwarding_engine)
{
    random_source random{1};
    time_point now = start_time();
    std::unique_ptr<forwarding_engine> engine;
    std::uint64_t last_request = 0;

    void start(unsigned upstreams, double retry_slack = 100)
    {
        forwarding_options options{.instance = instance_name("e"),
                                   .place = place_name("p"),
                                   .region = region_name("r"),
                                   .tracks = {},
                                   .admission = {},
                                   .shares = {},
                                   .retries = {.per_request = 0.2, .fixed = retry_slack}};
        engine = std::make_unique<forwarding_engine>(std::move(options), random);
        engine->take_entries({{instance_name("e"), region_name("r")}});
        engine->take_document(sample_document(), now);
        engine->take_upstreams(sample_upstreams(upstreams), now);
    }

    request_arrival request(std::string path, duration time_left = ms(2'000))
    {
        return {.id = request_id(++last_request),
                .caller_id = "c",
                .host = "h",
                .path = std::move(path),
                .time_left = time_left};
    }

    forwarding_engine::commands arrive(std::string path, duration time_left = ms(2'000))
    {
        return engine->arrive(request(std::move(path), time_left), now);
    }

    forwarding_engine::commands end_send(std::uint64_t id, send_result result, int status = 0)
    {
        return engine->take_send_end(request_id(id), {.result = result, .status = status}, now);
    }

    /// Lets time pass in steps of a millisecond, as the timers would.
    forwarding_engine::commands pass(duration span)
    {
        forwarding_engine::commands all;
        for (time_point const until = now + span; now < until;) {
            now += ms(1);
            auto const some = engine->tick(now);
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }
};

TEST(forwarding_engine, entry_that_starts_late_takes_its_regions_part_of_spilled_objects)
{
    start(0);
    auto upstreams = sample_upstreams(6);
    for (auto& [name, known] : upstreams) {
        if (name != upstreams.begin()->first) {
            known.region = region_name("far");
            known.registration.place = place_name("far-1");
        }
    }
    engine->take_upstreams(upstreams, now);
    engine->take_entries({{instance_name("e"), region_name("r")},
                          {instance_name("near"), region_name("r")},
                          {instance_name("far"), region_name("far")}});
    arrive("/read/x");
    auto const planned = engine->spilled_parts();
    CHECK(!planned.empty());
    CHECK(planned.front().thousandths > 500);

    auto const told = [&](char const* sender, std::uint16_t thousandths) {
        wire::slot_report report{.instance = wire::name_text(sender),
                                 .incarnation = 1,
                                 .number = 1,
                                 .whole = true,
                                 .counts = {},
                                 .parts = {}};
        report.parts.add({.service = planned.front().service, .thousandths = thousandths});
        return report;
    };
    engine->take_slot_report(told("far", 900), now);
    CHECK_EQUAL(planned.front().thousandths, engine->spilled_parts().front().thousandths);
    engine->take_slot_report(told("near", 100), now);
    CHECK_EQUAL(100, engine->spilled_parts().front().thousandths);
}

TEST(forwarding_engine, request_goes_to_an_upstream_and_its_answer_to_the_caller)
{
    start(1);
    auto const sent = arrive("/read/x");
    auto const* const send = find_command<send_request>(sent);
    CHECK(send != nullptr);
    STRCMP_EQUAL("u1", send->upstream.get().c_str());
    CHECK(send->time_left == ms(2'000));
    now += ms(100);
    CHECK(find_command<deliver_answer>(end_send(1, send_result::answered, 200)) != nullptr);
    LONGS_EQUAL(0, engine->requests_under_way());
}

TEST(forwarding_engine, without_a_document_or_a_route_it_says_which)
{
    start(1);
    LONGS_EQUAL(404, find_command<refuse_request>(arrive("/other/x"))->status);
    engine->set_routes_doubtful(true);
    LONGS_EQUAL(503, find_command<refuse_request>(arrive("/other/x"))->status);
    forwarding_engine empty({}, random);
    auto const refused = empty.arrive(request("/read/x"), now);
    LONGS_EQUAL(503, find_command<refuse_request>(refused)->status);
    CHECK(find_command<refuse_request>(refused)->retry_after.has_value());
}

TEST(forwarding_engine, a_slot_that_is_taken_isn_t_given_twice)
{
    start(1);
    arrive("/read/x");
    auto const second = arrive("/read/y");
    CHECK(find_command<send_request>(second) == nullptr);
    CHECK(find_command<refuse_request>(second) == nullptr);
    auto const freed = end_send(1, send_result::answered, 200);
    CHECK(find_command<send_request>(freed) != nullptr);
}

TEST(forwarding_engine, slots_that_another_entry_takes_are_left_alone)
{
    start(1);
    wire::slot_report report{.instance = wire::name_text("other"),
                             .incarnation = 7,
                             .number = 1,
                             .whole = true,
                             .counts = {}};
    report.counts.add({.upstream = key_of(upstream_name("u1")).get(), .under_way = 1});
    engine->take_slot_report(report, now);
    CHECK(find_command<send_request>(arrive("/read/x")) == nullptr);
    wire::slot_report const empty{.instance = wire::name_text("other"),
                                  .incarnation = 7,
                                  .number = 2,
                                  .whole = true,
                                  .counts = {}};
    CHECK(find_command<send_request>(engine->take_slot_report(empty, now)) != nullptr);
}

TEST(forwarding_engine, a_request_that_can_t_be_in_time_is_refused_with_a_time_to_return)
{
    start(1);
    arrive("/read/x");
    arrive("/read/y");
    auto const later = pass(ms(150));
    auto const* const refused = find_command<refuse_request>(later);
    CHECK(refused != nullptr);
    LONGS_EQUAL(503, refused->status);
    CHECK(refused->why == refusal::no_room);
    CHECK(refused->retry_after.has_value());
}

TEST(forwarding_engine, more_urgent_work_gets_the_slot_that_becomes_free)
{
    start(1);
    arrive("/read/x");
    arrive("/read/y");
    arrive("/pay/z");
    auto const freed = end_send(1, send_result::answered, 200);
    LONGS_EQUAL(3, find_command<send_request>(freed)->id.get());
}

TEST(forwarding_engine, work_that_may_have_run_once_is_never_sent_again_nor_told_not_run)
{
    start(2);
    arrive("/pay/x");
    auto const lost = end_send(1, send_result::broken);
    CHECK(find_command<send_request>(lost) == nullptr);
    LONGS_EQUAL(502, find_command<refuse_request>(lost)->status);
    CHECK(!find_command<refuse_request>(lost)->retry_after.has_value());
}

TEST(forwarding_engine, work_that_wasn_t_run_is_sent_to_another_upstream)
{
    for (send_result const result :
         {send_result::shed, send_result::not_connected, send_result::other_instance}) {
        start(2);
        std::uint64_t const id = last_request + 1;
        auto const first = arrive("/pay/x");
        auto const again = end_send(id, result, 503);
        CHECK(find_command<send_request>(again) != nullptr);
        CHECK(find_command<send_request>(again)->upstream !=
              find_command<send_request>(first)->upstream);
        // Two upstreams at most: the second refusal is the caller's.
        auto const refused = end_send(id, result, 503);
        LONGS_EQUAL(503, find_command<refuse_request>(refused)->status);
    }
}

TEST(forwarding_engine, idempotent_work_that_was_lost_runs_again_but_isn_t_told_not_run_after_it)
{
    start(2);
    arrive("/read/x");
    CHECK(find_command<send_request>(end_send(1, send_result::broken)) != nullptr);
    auto const refused = end_send(1, send_result::shed, 503);
    LONGS_EQUAL(502, find_command<refuse_request>(refused)->status);
}

TEST(forwarding_engine, failed_answer_to_idempotent_work_is_tried_elsewhere_and_else_delivered)
{
    start(2);
    arrive("/read/x");
    CHECK(find_command<send_request>(end_send(1, send_result::answered, 500)) != nullptr);
    CHECK(find_command<deliver_answer>(end_send(1, send_result::answered, 500)) != nullptr);
    arrive("/pay/x");
    CHECK(find_command<deliver_answer>(end_send(2, send_result::answered, 500)) != nullptr);
}

TEST(forwarding_engine, further_sends_stay_within_the_budget)
{
    start(2, 0);
    arrive("/read/x");
    auto const lost = end_send(1, send_result::broken);
    CHECK(find_command<send_request>(lost) == nullptr);
    LONGS_EQUAL(1, engine->counters().retries_denied);
}

TEST(forwarding_engine, final_answer_comes_at_the_route_s_timeout_and_the_send_ends_after_it)
{
    start(1);
    arrive("/read/x", ms(60'000));
    auto const at_limit = pass(ms(2'000));
    LONGS_EQUAL(504, find_command<refuse_request>(at_limit)->status);
    auto const after = pass(ms(300));
    CHECK(find_command<cancel_request_send>(after) != nullptr);
    LONGS_EQUAL(0, engine->requests_under_way());
}

TEST(forwarding_engine, a_caller_that_goes_cancels_idempotent_work_only)
{
    start(2);
    arrive("/read/x");
    CHECK(find_command<cancel_request_send>(engine->take_caller_gone(request_id(1), now)) !=
          nullptr);
    arrive("/pay/x");
    CHECK(find_command<cancel_request_send>(engine->take_caller_gone(request_id(2), now)) ==
          nullptr);
    CHECK(find_command<deliver_answer>(end_send(2, send_result::answered, 200)) == nullptr);
    LONGS_EQUAL(0, engine->requests_under_way());
}

TEST(forwarding_engine, an_upstream_that_can_t_be_connected_to_is_probed_before_it_is_used)
{
    start(1);
    arrive("/read/x");
    end_send(1, send_result::not_connected);
    pass(ms(10));
    arrive("/read/y");
    auto const later = pass(ms(500));
    CHECK(find_command<send_request>(later) == nullptr);
    auto const* const probe = find_command<probe_upstream>(later);
    CHECK(probe != nullptr);
    STRCMP_EQUAL("/health", probe->path.c_str());
    engine->take_probe(upstream_name("u1"), {.healthy = true, .cold_left = {}, .load = {}}, now);
    CHECK(find_command<send_request>(arrive("/read/z")) != nullptr);
}

TEST(forwarding_engine, a_cold_upstream_gets_no_more_than_it_bears)
{
    start(1);
    auto upstreams = sample_upstreams(1);
    upstreams.begin()->second.cold_until = now + ms(10'000);
    upstreams.begin()->second.registration.slots = slot_count(50);
    engine->take_upstreams(upstreams, now);
    unsigned sent = 0;
    for (int i = 0; i < 100; ++i) {
        sent += find_command<send_request>(arrive("/read/x", ms(5))) != nullptr ? 1 : 0;
        pass(ms(10));
    }
    CHECK(sent >= 2);
    CHECK(sent <= 6); // 5 a second are borne, and the first one.
}

TEST(forwarding_engine, only_one_entry_sends_to_a_cold_upstream)
{
    auto upstreams = sample_upstreams(8);
    for (auto& [name, known] : upstreams)
        known.cold_until = now + ms(10'000);
    unsigned sent = 0;
    for (char const* name : {"e1", "e2", "e3"}) {
        forwarding_options options{
            .instance = instance_name(name), .place = place_name("p"), .region = region_name("r")};
        forwarding_engine one(std::move(options), random);
        one.take_entries({{instance_name("e1"), region_name("r")},
                          {instance_name("e2"), region_name("r")},
                          {instance_name("e3"), region_name("r")}});
        one.take_document(sample_document(), now);
        one.take_upstreams(upstreams, now);
        for (int i = 0; i < 30; ++i)
            sent += find_command<send_request>(one.arrive(request("/read/x"), now)) != nullptr;
    }
    LONGS_EQUAL(8, sent);
}

TEST(forwarding_engine, draining_evacuated_and_removed_upstreams_get_nothing)
{
    start(1);
    for (int which = 0; which < 3; ++which) {
        auto upstreams = sample_upstreams(1);
        upstreams.begin()->second.draining = which == 0;
        upstreams.begin()->second.evacuated = which == 1;
        upstreams.begin()->second.removed = which == 2;
        engine->take_upstreams(upstreams, now);
        CHECK(find_command<send_request>(arrive("/read/x")) == nullptr);
    }
}

TEST(forwarding_engine, nothing_is_sent_between_suspend_and_resume)
{
    start(1);
    engine->suspend(now + ms(1'000));
    CHECK(find_command<send_request>(arrive("/read/x")) == nullptr);
    CHECK(find_command<send_request>(engine->resume(now + ms(5))) != nullptr);
}

TEST(forwarding_engine, an_older_document_is_not_taken_up)
{
    start(1);
    auto older = sample_document(0);
    older->routes.clear();
    engine->take_document(older, now);
    CHECK(find_command<send_request>(arrive("/read/x")) != nullptr);
}

TEST(forwarding_engine, homes_are_kept_even_where_another_region_has_room)
{
    start(0);
    auto document = sample_document(2);
    document->routes[0].home_regions = {region_name("r")};
    engine->take_document(document, now);
    auto upstreams = sample_upstreams(1);
    upstreams.begin()->second.region = region_name("far");
    upstreams.begin()->second.registration.place = place_name("far-1");
    upstreams.begin()->second.registration.slots = slot_count(9);
    engine->take_upstreams(upstreams, now);
    CHECK(find_command<send_request>(arrive("/read/x")) == nullptr);
    CHECK(find_command<send_request>(arrive("/pay/x")) != nullptr);
}

TEST(forwarding_engine, a_region_whose_upstreams_all_seem_slow_is_not_left_for_it)
{
    start(0);
    auto upstreams = sample_upstreams(2);
    known_upstream& far = upstreams.at(upstream_name("u2"));
    far.region = region_name("far");
    far.registration.place = place_name("far-1");
    far.registration.slots = slot_count(9);
    engine->take_upstreams(upstreams, now);
    // One short request, and then usual ones: as multiples of the first they look slow.
    for (unsigned i = 1; i <= 12; ++i) {
        auto const sent = arrive("/read/x");
        STRCMP_EQUAL("u1", find_command<send_request>(sent)->upstream.get().c_str());
        now += i == 1 ? ms(2) : ms(200);
        end_send(i, send_result::answered, 200);
    }
}
