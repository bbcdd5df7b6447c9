#include "tests/fakes/forwarding_harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP_BASE(forwarding_engine, forwarding_harness){};

TEST(forwarding_engine, late_starting_entry_adopts_the_spill_fraction_of_its_own_region_only)
{
    start(0);
    auto upstreams = sample_upstreams(6);
    for (auto& [name, known] : upstreams) {
        if (name != upstreams.begin()->first) {
            known.region = region_name("far");
            known.registration.place = place_name("far-1");
        }
    }
    engine->update_upstreams(upstreams, now);
    engine->update_entries({{instance_name("e"), region_name("r")},
                            {instance_name("near"), region_name("r")},
                            {instance_name("far"), region_name("far")}});
    submit("/read/x");
    auto const planned = engine->spill_fractions();
    CHECK(!planned.empty());
    CHECK(planned.front().thousandths > 500);

    auto const make_slot_report = [&](char const* sender, std::uint16_t thousandths) {
        wire::slot_report report{.instance = wire::name_text(sender),
                                 .incarnation = 1,
                                 .number = 1,
                                 .is_full_report = true,
                                 .counts = {},
                                 .spilled_fractions = {}};
        report.spilled_fractions.add(
            {.service = planned.front().service, .thousandths = thousandths});
        return report;
    };
    engine->handle_slot_report(make_slot_report("far", 900), now);
    CHECK_EQUAL(planned.front().thousandths, engine->spill_fractions().front().thousandths);
    engine->handle_slot_report(make_slot_report("near", 100), now);
    CHECK_EQUAL(100, engine->spill_fractions().front().thousandths);
}

TEST(forwarding_engine, request_is_sent_to_an_upstream_and_its_answer_delivered_to_the_caller)
{
    start(1);
    auto const sent = submit("/read/x");
    auto const* const send = find_command<send_request>(sent);
    CHECK(send != nullptr);
    STRCMP_EQUAL("u1", send->upstream.get().c_str());
    CHECK(send->time_left == ms(2'000));
    now += ms(100);
    CHECK(find_command<deliver_answer>(end_send(1, send_result::answered, 200)) != nullptr);
    LONGS_EQUAL(0, engine->requests_under_way());
}

TEST(forwarding_engine, unknown_route_gets_404_but_503_while_routes_are_incomplete_or_absent)
{
    start(1);
    LONGS_EQUAL(404, find_command<refuse_request>(submit("/other/x"))->status);
    engine->set_routes_incomplete(true);
    LONGS_EQUAL(503, find_command<refuse_request>(submit("/other/x"))->status);
    forwarding_engine empty({}, random);
    auto const refused = empty.submit(make_request("/read/x"), now);
    LONGS_EQUAL(503, find_command<refuse_request>(refused)->status);
    CHECK(find_command<refuse_request>(refused)->retry_after.has_value());
}

TEST(forwarding_engine, second_request_waits_until_the_only_slot_is_free)
{
    start(1);
    submit("/read/x");
    auto const second = submit("/read/y");
    CHECK(find_command<send_request>(second) == nullptr);
    CHECK(find_command<refuse_request>(second) == nullptr);
    auto const freed = end_send(1, send_result::answered, 200);
    CHECK(find_command<send_request>(freed) != nullptr);
}

TEST(forwarding_engine, slot_reported_busy_by_another_entry_is_not_used_until_reported_free)
{
    start(1);
    wire::slot_report report{.instance = wire::name_text("other"),
                             .incarnation = 7,
                             .number = 1,
                             .is_full_report = true,
                             .counts = {}};
    report.counts.add({.upstream = key_of(upstream_name("u1")).get(), .under_way = 1});
    engine->handle_slot_report(report, now);
    CHECK(find_command<send_request>(submit("/read/x")) == nullptr);
    wire::slot_report const empty{.instance = wire::name_text("other"),
                                  .incarnation = 7,
                                  .number = 2,
                                  .is_full_report = true,
                                  .counts = {}};
    CHECK(find_command<send_request>(engine->handle_slot_report(empty, now)) != nullptr);
}

TEST(forwarding_engine, request_that_gets_no_slot_in_time_is_refused_with_retry_after)
{
    start(1);
    submit("/read/x");
    submit("/read/y");
    auto const later = advance_time(ms(150));
    auto const* const refused = find_command<refuse_request>(later);
    CHECK(refused != nullptr);
    LONGS_EQUAL(503, refused->status);
    CHECK(refused->reason == refusal::no_room);
    CHECK(refused->retry_after.has_value());
}

TEST(forwarding_engine, freed_slot_goes_to_the_most_urgent_waiting_request)
{
    start(1);
    submit("/read/x");
    submit("/read/y");
    submit("/pay/z");
    auto const freed = end_send(1, send_result::answered, 200);
    LONGS_EQUAL(3, find_command<send_request>(freed)->id.get());
}

TEST(forwarding_engine, non_idempotent_request_lost_at_an_upstream_is_not_resent_and_gets_502)
{
    start(2);
    submit("/pay/x");
    auto const lost = end_send(1, send_result::broken);
    CHECK(find_command<send_request>(lost) == nullptr);
    LONGS_EQUAL(502, find_command<refuse_request>(lost)->status);
    CHECK(!find_command<refuse_request>(lost)->retry_after.has_value());
}

TEST(forwarding_engine, request_that_an_upstream_did_not_run_is_sent_to_another_upstream)
{
    for (send_result const result :
         {send_result::shed, send_result::not_connected, send_result::other_instance}) {
        start(2);
        std::uint64_t const id = last_request + 1;
        auto const first = submit("/pay/x");
        auto const again = end_send(id, result, 503);
        CHECK(find_command<send_request>(again) != nullptr);
        CHECK(find_command<send_request>(again)->upstream !=
              find_command<send_request>(first)->upstream);
        // The route allows two upstreams per request, so the second rejection ends the request.
        auto const refused = end_send(id, result, 503);
        LONGS_EQUAL(503, find_command<refuse_request>(refused)->status);
    }
}

TEST(forwarding_engine, lost_idempotent_request_is_resent_and_gets_502_if_the_resend_is_shed)
{
    start(2);
    submit("/read/x");
    CHECK(find_command<send_request>(end_send(1, send_result::broken)) != nullptr);
    auto const refused = end_send(1, send_result::shed, 503);
    LONGS_EQUAL(502, find_command<refuse_request>(refused)->status);
}

TEST(forwarding_engine, error_answer_is_retried_for_idempotent_requests_and_delivered_otherwise)
{
    start(2);
    submit("/read/x");
    CHECK(find_command<send_request>(end_send(1, send_result::answered, 500)) != nullptr);
    CHECK(find_command<deliver_answer>(end_send(1, send_result::answered, 500)) != nullptr);
    submit("/pay/x");
    CHECK(find_command<deliver_answer>(end_send(2, send_result::answered, 500)) != nullptr);
}

TEST(forwarding_engine, status_that_promises_not_run_is_not_delivered_without_proof)
{
    for (int const status : {408, 429, 503}) {
        start(1);
        std::uint64_t const id = last_request + 1;
        submit("/pay/x");
        auto const ended = end_send(id, send_result::answered, status);
        CHECK(find_command<deliver_answer>(ended) == nullptr);
        LONGS_EQUAL(502, find_command<refuse_request>(ended)->status);
        CHECK(!find_command<refuse_request>(ended)->retry_after.has_value());
    }
}

TEST(forwarding_engine, no_further_send_without_retry_budget)
{
    start(2, 0);
    submit("/read/x");
    auto const lost = end_send(1, send_result::broken);
    CHECK(find_command<send_request>(lost) == nullptr);
    LONGS_EQUAL(1, engine->counters().retries_denied);
}

TEST(forwarding_engine, request_gets_504_at_the_route_timeout_and_its_send_is_cancelled_later)
{
    start(1);
    submit("/read/x", ms(60'000));
    auto const at_limit = advance_time(ms(2'000));
    LONGS_EQUAL(504, find_command<refuse_request>(at_limit)->status);
    auto const after = advance_time(ms(300));
    CHECK(find_command<cancel_request_send>(after) != nullptr);
    LONGS_EQUAL(0, engine->requests_under_way());
}

TEST(forwarding_engine, caller_disconnect_cancels_idempotent_requests_only)
{
    start(2);
    submit("/read/x");
    CHECK(find_command<cancel_request_send>(engine->handle_caller_disconnect(request_id(1), now)) !=
          nullptr);
    submit("/pay/x");
    CHECK(find_command<cancel_request_send>(engine->handle_caller_disconnect(request_id(2), now)) ==
          nullptr);
    CHECK(find_command<deliver_answer>(end_send(2, send_result::answered, 200)) == nullptr);
    LONGS_EQUAL(0, engine->requests_under_way());
}

TEST(forwarding_engine, unreachable_upstream_is_used_again_only_after_a_healthy_probe)
{
    start(1);
    submit("/read/x");
    end_send(1, send_result::not_connected);
    advance_time(ms(10));
    submit("/read/y");
    auto const later = advance_time(ms(500));
    CHECK(find_command<send_request>(later) == nullptr);
    auto const* const probe = find_command<probe_upstream>(later);
    CHECK(probe != nullptr);
    STRCMP_EQUAL("/health", probe->path.c_str());
    engine->handle_probe_report(upstream_name("u1"), {},
                                {.healthy = true, .cold_left = {}, .load = {}}, now);
    CHECK(find_command<send_request>(submit("/read/z")) != nullptr);
}

TEST(forwarding_engine, cold_upstream_gets_at_most_its_cold_request_rate)
{
    start(1);
    auto upstreams = sample_upstreams(1);
    upstreams.begin()->second.cold_until = now + ms(10'000);
    upstreams.begin()->second.registration.slots = slot_count(50);
    engine->update_upstreams(upstreams, now);
    unsigned sent = 0;
    for (int i = 0; i < 100; ++i) {
        sent += find_command<send_request>(submit("/read/x", ms(5))) != nullptr ? 1 : 0;
        advance_time(ms(10));
    }
    CHECK(sent >= 2);
    CHECK(sent <= 6); // The cold limit of 5 requests in one second, and the initial token.
}

TEST(forwarding_engine, exactly_one_entry_sends_to_each_cold_upstream)
{
    auto upstreams = sample_upstreams(8);
    for (auto& [name, known] : upstreams)
        known.cold_until = now + ms(10'000);
    unsigned sent = 0;
    for (char const* name : {"e1", "e2", "e3"}) {
        forwarding_options options{
            .instance = instance_name(name), .place = place_name("p"), .region = region_name("r")};
        forwarding_engine engine_of_entry(std::move(options), random);
        engine_of_entry.update_entries({{instance_name("e1"), region_name("r")},
                                        {instance_name("e2"), region_name("r")},
                                        {instance_name("e3"), region_name("r")}});
        engine_of_entry.update_document(sample_document(), now);
        engine_of_entry.update_upstreams(upstreams, now);
        for (int i = 0; i < 30; ++i)
            sent += find_command<send_request>(
                        engine_of_entry.submit(make_request("/read/x"), now)) != nullptr;
    }
    LONGS_EQUAL(8, sent);
}

TEST(forwarding_engine, draining_evacuated_and_removed_upstreams_get_no_requests)
{
    start(1);
    for (int excluded_by = 0; excluded_by < 3; ++excluded_by) {
        auto upstreams = sample_upstreams(1);
        upstreams.begin()->second.draining = excluded_by == 0;
        upstreams.begin()->second.evacuated = excluded_by == 1;
        upstreams.begin()->second.removed = excluded_by == 2;
        engine->update_upstreams(upstreams, now);
        CHECK(find_command<send_request>(submit("/read/x")) == nullptr);
    }
}

TEST(forwarding_engine, no_request_is_sent_between_suspend_and_resume)
{
    start(1);
    engine->suspend(now + ms(1'000));
    CHECK(find_command<send_request>(submit("/read/x")) == nullptr);
    CHECK(find_command<send_request>(engine->resume(now + ms(5))) != nullptr);
}

TEST(forwarding_engine, precedence_for_slots_is_the_same_however_the_list_of_entries_came_about)
{
    instance_name const own("e");
    region_name const region("r");
    std::map<instance_name, region_name> const first{
        {own, region}, {instance_name("a"), region}, {instance_name("b"), region}};
    std::map<instance_name, region_name> const last{
        {own, region}, {instance_name("b"), region}, {instance_name("c"), region}};
    unsigned sent_at_once = 0;
    for (unsigned number = 1; number <= 40; ++number) {
        std::map<upstream_name, known_upstream> const upstreams{
            {sample_upstream(number).registration.name, sample_upstream(number)}};
        std::vector<bool> is_sent_at_once;
        for (bool const by_steps : {true, false}) {
            start(0);
            if (by_steps) {
                engine->update_entries(first);
                engine->update_upstreams(upstreams, now);
            }
            engine->update_entries(last);
            engine->update_upstreams(upstreams, now);
            is_sent_at_once.push_back(find_command<send_request>(submit("/read/x")) != nullptr);
        }
        CHECK(is_sent_at_once.front() == is_sent_at_once.back());
        sent_at_once += is_sent_at_once.front() ? 1 : 0;
    }
    // Each of the three entries has precedence for about a third of the upstreams.
    CHECK(sent_at_once >= 7);
    CHECK(sent_at_once <= 20);
}

TEST(forwarding_engine, older_document_does_not_replace_a_newer_one)
{
    start(1);
    auto older = sample_document(0);
    older->routes.clear();
    engine->update_document(older, now);
    CHECK(find_command<send_request>(submit("/read/x")) != nullptr);
}

TEST(forwarding_engine, route_with_home_regions_is_never_served_in_another_region)
{
    start(0);
    auto document = sample_document(2);
    document->routes[0].home_regions = {region_name("r")};
    engine->update_document(document, now);
    auto upstreams = sample_upstreams(1);
    upstreams.begin()->second.region = region_name("far");
    upstreams.begin()->second.registration.place = place_name("far-1");
    upstreams.begin()->second.registration.slots = slot_count(9);
    engine->update_upstreams(upstreams, now);
    CHECK(find_command<send_request>(submit("/read/x")) == nullptr);
    CHECK(find_command<send_request>(submit("/pay/x")) != nullptr);
}

TEST(forwarding_engine, requests_stay_in_a_region_whose_upstreams_all_seem_slow)
{
    start(0);
    auto upstreams = sample_upstreams(2);
    known_upstream& far = upstreams.at(upstream_name("u2"));
    far.region = region_name("far");
    far.registration.place = place_name("far-1");
    far.registration.slots = slot_count(9);
    engine->update_upstreams(upstreams, now);
    // After one very short request, usual service times are high multiples of the estimate, so the
    // only upstream of the region counts as slow. Requests must not leave the region for that.
    for (unsigned i = 1; i <= 12; ++i) {
        auto const sent = submit("/read/x");
        STRCMP_EQUAL("u1", find_command<send_request>(sent)->upstream.get().c_str());
        now += i == 1 ? ms(2) : ms(200);
        end_send(i, send_result::answered, 200);
    }
}
