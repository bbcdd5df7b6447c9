#include "libraries/entry/entry_engine.hpp"

#include "libraries/configuration/deployment_reader.hpp"

#include "tests/fakes/documents.hpp"
#include "tests/fakes/harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

template <class Command>
Command const* find_command(entry_engine::commands const& commands)
{
    for (entry_command const& each : commands) {
        if (auto const* const found = std::get_if<Command>(&each))
            return found;
    }
    return nullptr;
}

} // namespace

TEST_GROUP(entry_engine)
{
    time_point now = start_time();
    random_source random{5};
    incarnation_id const own_incarnation{1};
    incarnation_id const peer_incarnation{2};
    entry_engine engine{{.instance = instance_name("e0"),
                         .region = region_name("armor"),
                         .place = place_name("brest"),
                         .incarnation = own_incarnation},
                        random,
                        now};

    static member_view member(char const* name, char const* region, incarnation_id incarnation)
    {
        member_view view;
        view.listed.instance = instance_name(name);
        view.listed.region = region_name(region);
        view.listed.callers = {.ip = static_cast<std::uint32_t>(incarnation.get()), .port = 1};
        view.incarnation = incarnation;
        view.epoch = epoch_number(1);
        view.state = wire::member_state::serving;
        view.configuration = configuration_version(1);
        return view;
    }

    void setup() override
    {
        auto new_configuration = std::make_shared<configuration_in_force>();
        new_configuration->version = configuration_version(1);
        new_configuration->document =
            std::make_shared<deployment const>(*read_deployment("a", sample_deployment()).document);
        engine.update_members(
            {member("e0", "armor", own_incarnation), member("e1", "ille", peer_incarnation)});
        engine.apply_configuration(new_configuration, now);
    }

    entry_engine::commands handle_arrival(std::uint64_t id, char const* service,
                                          std::optional<ticket> presented = {},
                                          call_route route = call_route::direct)
    {
        return engine.handle_arrival({.id = request_id(id),
                                      .service = service_name(service),
                                      .presented = presented,
                                      .request = digest_of("body"),
                                      .route = route},
                                     now);
    }

    ticket ticket_for(incarnation_id incarnation)
    {
        return generate_ticket(incarnation, epoch_number(1), random);
    }

    /// What became of the calls of one second.
    struct calls_of_a_second
    {
        unsigned spilled = 0;
        unsigned run_locally = 0;
    };
    std::uint64_t last_call = 0;

    /// Makes 100 calls, each of which ends before the next one, and advances time by a second.
    calls_of_a_second make_calls_for_a_second()
    {
        calls_of_a_second counts;
        for (int i = 0; i < 100; ++i) {
            std::uint64_t const number = ++last_call;
            auto const commands = handle_arrival(number, "levels");
            counts.spilled += find_command<send_peer>(commands) != nullptr ? 1 : 0;
            counts.run_locally += find_command<send_upstream>(commands) != nullptr ? 1 : 0;
            engine.handle_answer_head(request_id(number), answer_head_kind::answer, now);
            end_send(number, send_end::complete);
            now += ms(10);
        }
        return counts;
    }

    void drain_own_region()
    {
        auto new_configuration = std::make_shared<configuration_in_force>();
        new_configuration->version = configuration_version(2);
        new_configuration->document = std::make_shared<deployment const>(
            *read_deployment("a", sample_deployment() + "[[drain]]\nscope = \"region\"\n"
                                                        "name = \"armor\"\nreason = \"work\"\n")
                 .document);
        engine.apply_configuration(new_configuration, now);
    }

    entry_engine::commands end_send(std::uint64_t id, send_end send_result)
    {
        return engine.handle_send_end(request_id(id), send_result,
                                      retained_answer{.status = 200, .body = "a"}, now);
    }
};

TEST(entry_engine, idempotent_call_goes_to_an_upstream)
{
    auto const commands = handle_arrival(1, "levels");
    CHECK(find_command<send_upstream>(commands) != nullptr);
    CHECK(!find_command<send_upstream>(commands)->fresh_connection);
}

TEST(entry_engine, non_idempotent_call_without_a_ticket_is_refused_and_given_one)
{
    auto const refused = handle_arrival(1, "transfers");
    CHECK(find_command<reply_not_run>(refused) != nullptr);
    auto const next = find_command<reply_not_run>(refused)->next;
    auto const sent = handle_arrival(2, "transfers", next);
    CHECK(find_command<send_upstream>(sent) != nullptr);
    CHECK(find_command<send_upstream>(sent)->fresh_connection);
}

TEST(entry_engine, non_idempotent_call_lost_after_dispatch_is_unknown_and_not_resent)
{
    handle_arrival(1, "transfers", ticket_for(own_incarnation));
    auto const commands = end_send(1, send_end::broken);
    CHECK(find_command<reply_unknown>(commands) != nullptr);
    CHECK(find_command<send_upstream>(commands) == nullptr);
}

TEST(entry_engine, failed_connect_without_another_upstream_is_not_run)
{
    ticket const issued = ticket_for(own_incarnation);
    handle_arrival(1, "transfers", issued);
    auto const commands = end_send(1, send_end::not_connected);
    // The region's only upstream has been tried, and no free slots are known in other regions.
    CHECK(find_command<reply_not_run>(commands) != nullptr);
    CHECK(find_command<reply_not_run>(commands)->next.has_value());
    // A late copy of the refused request must not run.
    auto const late_copy = handle_arrival(2, "transfers", issued);
    CHECK(find_command<reply_not_run>(late_copy) != nullptr);
    CHECK(find_command<send_upstream>(late_copy) == nullptr);
}

TEST(entry_engine, pool_without_usable_upstreams_spills_up_to_the_shift_cap_and_refuses_the_rest)
{
    engine.mark_leaving(upstream_name("transfers-brest-1"), now, now);
    unsigned spilled_calls = 0;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        auto const commands = handle_arrival(id, "transfers", ticket_for(own_incarnation));
        CHECK(find_command<send_upstream>(commands) == nullptr);
        if (auto const* const sent = find_command<send_peer>(commands)) {
            ++spilled_calls;
            CHECK(sent->route == call_route::spilled);
            CHECK(sent->present->incarnation == peer_incarnation);
        }
        else {
            CHECK(find_command<reply_not_run>(commands)->next.has_value());
        }
    }
    // The shift cap is 20 percent of the traffic: one call in five.
    LONGS_EQUAL(1, spilled_calls);
}

TEST(entry_engine, spilled_request_is_not_spilled_again)
{
    engine.mark_leaving(upstream_name("transfers-brest-1"), now, now);
    auto const commands =
        handle_arrival(1, "transfers", ticket_for(own_incarnation), call_route::spilled);
    CHECK(find_command<reply_not_run>(commands) != nullptr);
}

TEST(entry_engine, call_with_a_ticket_of_another_entry_is_forwarded_to_it)
{
    auto const commands = handle_arrival(1, "transfers", ticket_for(peer_incarnation));
    CHECK(find_command<send_peer>(commands) != nullptr);
    CHECK(find_command<send_peer>(commands)->present->incarnation == peer_incarnation);
}

TEST(entry_engine, call_with_a_ticket_of_an_unreachable_entry_is_unknown)
{
    auto const commands = handle_arrival(1, "transfers", ticket_for(incarnation_id(99)));
    CHECK(find_command<reply_unknown>(commands) != nullptr);
    CHECK(find_command<send_upstream>(commands) == nullptr);
}

TEST(entry_engine, failed_connect_to_the_ticket_entry_leaves_the_outcome_unknown)
{
    handle_arrival(1, "transfers", ticket_for(peer_incarnation));
    CHECK(find_command<reply_unknown>(end_send(1, send_end::not_connected)) != nullptr);
}

TEST(entry_engine, duplicate_waits_for_the_original_and_gets_its_answer)
{
    ticket const issued = ticket_for(own_incarnation);
    handle_arrival(1, "transfers", issued);
    CHECK(handle_arrival(2, "transfers", issued).empty());
    engine.handle_answer_head(request_id(1), answer_head_kind::answer, now);
    auto const commands = end_send(1, send_end::complete);
    CHECK(find_command<complete_answer>(commands) != nullptr);
    CHECK(find_command<reply_retained_answer>(commands) != nullptr);
    LONGS_EQUAL(2, find_command<reply_retained_answer>(commands)->id.get());
}

TEST(entry_engine, duplicate_whose_caller_disconnects_does_not_affect_the_original)
{
    ticket const issued = ticket_for(own_incarnation);
    handle_arrival(1, "transfers", issued);
    handle_arrival(2, "transfers", issued);
    engine.handle_caller_gone(request_id(2), now);
    engine.handle_answer_head(request_id(1), answer_head_kind::answer, now);
    end_send(1, send_end::complete);
    CHECK(find_command<reply_retained_answer>(handle_arrival(3, "transfers", issued)) != nullptr);
}

TEST(entry_engine, truncated_upstream_answer_is_truncated_for_the_caller)
{
    handle_arrival(1, "levels");
    CHECK(find_command<forward_answer>(
              engine.handle_answer_head(request_id(1), answer_head_kind::answer, now)) != nullptr);
    auto const commands = end_send(1, send_end::broken);
    CHECK(find_command<truncate_answer>(commands) != nullptr);
    CHECK(find_command<complete_answer>(commands) == nullptr);
}

TEST(entry_engine, idempotent_send_without_an_answer_is_resent_on_a_new_connection)
{
    handle_arrival(1, "levels");
    now += ms(300);
    auto const commands = engine.tick(now);
    CHECK(find_command<abandon_send>(commands) != nullptr);
    CHECK(find_command<send_upstream>(commands) != nullptr);
    CHECK(find_command<send_upstream>(commands)->fresh_connection);
}

TEST(entry_engine, request_that_may_have_run_is_never_reported_as_not_run)
{
    // The first send is lost after dispatch; the second and last upstream refuses the request.
    handle_arrival(1, "levels");
    CHECK(find_command<send_upstream>(end_send(1, send_end::broken)) != nullptr);
    engine.handle_answer_head(request_id(1), answer_head_kind::not_run, now);
    auto const commands = end_send(1, send_end::complete);
    CHECK(find_command<reply_not_run>(commands) == nullptr);
    CHECK(find_command<reply_unknown>(commands) != nullptr);
}

TEST(entry_engine, send_to_a_removed_upstream_without_an_answer_is_resent_elsewhere)
{
    handle_arrival(1, "levels");
    auto new_configuration = std::make_shared<configuration_in_force>(*engine.configuration());
    deployment changed = *new_configuration->document;
    changed.upstreams.erase(changed.upstreams.begin(), changed.upstreams.begin() + 2);
    upstream fresh = changed.upstreams.front();
    fresh.name = upstream_name("levels-brest-9");
    fresh.place = place_name("brest");
    changed.upstreams.push_back(fresh);
    new_configuration->document = std::make_shared<deployment const>(changed);
    engine.apply_configuration(new_configuration, now);
    now += ms(300);
    auto const commands = engine.tick(now);
    CHECK(find_command<abandon_send>(commands) != nullptr);
    CHECK(find_command<send_upstream>(commands) != nullptr);
}

TEST(entry_engine, non_idempotent_send_without_an_answer_is_never_resent)
{
    handle_arrival(1, "transfers", ticket_for(own_incarnation));
    for (int step = 0; step < 40; ++step) {
        now += ms(100);
        CHECK(find_command<send_upstream>(engine.tick(now)) == nullptr);
    }
}

TEST(entry_engine, send_whose_answer_head_has_arrived_is_not_abandoned)
{
    handle_arrival(1, "levels");
    engine.handle_answer_head(request_id(1), answer_head_kind::answer, now);
    now += ms(1'500);
    CHECK(find_command<abandon_send>(engine.tick(now)) == nullptr);
}

TEST(entry_engine, disconnected_caller_cancels_an_idempotent_call)
{
    handle_arrival(1, "levels");
    CHECK(find_command<cancel_send>(engine.handle_caller_gone(request_id(1), now)) != nullptr);
    LONGS_EQUAL(0, engine.calls_in_progress());
}

TEST(entry_engine, non_idempotent_call_continues_after_its_caller_disconnects)
{
    ticket const issued = ticket_for(own_incarnation);
    handle_arrival(1, "transfers", issued);
    CHECK(find_command<cancel_send>(engine.handle_caller_gone(request_id(1), now)) == nullptr);
    engine.handle_answer_head(request_id(1), answer_head_kind::answer, now);
    end_send(1, send_end::complete);
    CHECK(find_command<reply_retained_answer>(handle_arrival(2, "transfers", issued)) != nullptr);
}

TEST(entry_engine, callers_of_a_failed_region_are_admitted_up_to_the_shift_cap)
{
    // In each second 100 calls come from the failed region and 100 from the entry's own.
    double previous_share = 0;
    std::uint64_t id = 0;
    for (int second = 0; second < 6; ++second) {
        unsigned admitted = 0;
        for (int i = 0; i < 200; ++i) {
            call_arrival arrival{.id = request_id(++id),
                                 .service = service_name("levels"),
                                 .presented = {},
                                 .request = digest_of("body"),
                                 .home_region = region_name(i % 2 == 0 ? "ille" : "armor")};
            bool const sent =
                find_command<send_upstream>(engine.handle_arrival(arrival, now)) != nullptr;
            admitted += sent && i % 2 == 0 ? 1 : 0;
            engine.handle_answer_head(request_id(id), answer_head_kind::answer, now);
            engine.handle_send_end(request_id(id), send_end::complete, {}, now);
            now += ms(5);
        }
        CHECK(admitted / 200.0 <= previous_share + 0.2 + 1e-6);
        previous_share = admitted / 200.0;
    }
    DOUBLES_EQUAL(0.5, previous_share, 1e-6);
}

TEST(entry_engine, ended_spills_free_estimated_slots_of_the_target_pool)
{
    wire::pool_report report{.service = wire::name_text("levels"),
                             .region = wire::name_text("ille"),
                             .incarnation = peer_incarnation.get(),
                             .slots = 2};
    engine.mark_leaving(upstream_name("levels-brest-1"), now, now);
    engine.mark_leaving(upstream_name("levels-brest-2"), now, now);
    engine.record_pool_report(report, now);
    // One call in five may be spilled. Each call ends before the next one, and the report stays
    // recent throughout.
    unsigned spilled_calls = 0;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        spilled_calls += find_command<send_peer>(handle_arrival(id, "levels")) != nullptr ? 1 : 0;
        engine.handle_answer_head(request_id(id), answer_head_kind::answer, now);
        end_send(id, send_end::complete);
    }
    LONGS_EQUAL(10, spilled_calls);
}

TEST(entry_engine, drained_region_spills_within_the_shift_cap_until_it_runs_nothing)
{
    drain_own_region();
    calls_of_a_second last;
    double previous_share = 0;
    for (int second = 0; second < 7; ++second) {
        last = make_calls_for_a_second();
        CHECK(last.spilled / 100.0 <= previous_share + 0.2 + 1e-6);
        previous_share = last.spilled / 100.0;
    }
    DOUBLES_EQUAL(1.0, previous_share, 1e-6);
    LONGS_EQUAL(0, last.run_locally);
}

TEST(entry_engine, drained_region_runs_nothing_again_when_the_other_region_has_no_room)
{
    drain_own_region();
    for (int second = 0; second < 7; ++second)
        make_calls_for_a_second();
    wire::pool_report report{.service = wire::name_text("levels"),
                             .region = wire::name_text("ille"),
                             .incarnation = peer_incarnation.get(),
                             .slots = 2,
                             .in_flight = 2};
    for (int second = 0; second < 4; ++second) {
        engine.record_pool_report(report, now);
        calls_of_a_second const refused = make_calls_for_a_second();
        LONGS_EQUAL(0, refused.run_locally);
        LONGS_EQUAL(0, refused.spilled);
    }
    report.in_flight = 0;
    engine.record_pool_report(report, now);
    calls_of_a_second const spilled = make_calls_for_a_second();
    LONGS_EQUAL(0, spilled.run_locally);
    LONGS_EQUAL(100, spilled.spilled);
}

TEST(entry_engine, unknown_service_is_not_run)
{
    CHECK(find_command<reply_not_run>(handle_arrival(1, "nothing")) != nullptr);
}

TEST(entry_engine, late_copy_of_a_call_refused_for_an_unknown_service_stays_refused)
{
    ticket const issued = ticket_for(own_incarnation);
    CHECK(find_command<reply_not_run>(handle_arrival(1, "not-yet-there", issued)) != nullptr);
    CHECK(find_command<reply_not_run>(handle_arrival(2, "not-yet-there", issued)) != nullptr);
}
