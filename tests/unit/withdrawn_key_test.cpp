// Withdrawn keys at entries that pause, restart or lose touch.
#include "tests/fakes/forwarding_harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr duration revocation_limit = std::chrono::seconds(4);

} // namespace

TEST_GROUP_BASE(withdrawn_keys, forwarding_harness){
    void start_with_key(unsigned upstreams, duration limit = revocation_limit){
        forwarding_options options{.instance = instance_name("e"),
                                   .place = place_name("p"),
                                   .region = region_name("r"),
                                   .retry_budget = {.max_retry_ratio = 0.2, .fixed_retries = 100},
                                   .key_trust = {.revocation_limit = limit}};
engine = std::make_unique<forwarding_engine>(std::move(options), random);
engine->update_entries({{instance_name("e"), region_name("r")}});
auto const document = sample_document();
document->identifies_callers = true;
document->teams = {{.name = team_name("north"), .keys = {digest_of_key("k")}}};
document->routes[1].is_public = true;
engine->update_document(document, now);
engine->update_upstreams(sample_upstreams(upstreams), now);
}

forwarding_engine::commands submit_with_key(std::string path = "/read/x",
                                            duration time_left = ms(2'000))
{
    request_arrival arrival = make_request(std::move(path), time_left);
    arrival.key = digest_of_key("k");
    return engine->submit(std::move(arrival), now);
}

void check_refused(forwarding_engine::commands const& commands)
{
    refuse_request const* const refused = find_command<refuse_request>(commands);
    CHECK(refused != nullptr);
    LONGS_EQUAL(503, refused->status);
    CHECK(refused->reason == refusal::unconfirmed_key);
    CHECK(refused->retry_after.has_value());
    CHECK(*refused->retry_after <= ms(200));
}
}
;

TEST(withdrawn_keys, a_restarted_entry_without_the_store_serves_public_routes_only)
{
    start_with_key(4);
    check_refused(submit_with_key());
    CHECK(find_command<send_request>(submit("/pay/x")) != nullptr);
}

TEST(withdrawn_keys, an_entry_cut_from_all_acts_on_keys_up_to_the_limit_and_not_longer)
{
    start_with_key(4);
    engine->confirm_keys(now);
    now += revocation_limit - ms(1);
    CHECK(find_command<send_request>(submit_with_key()) != nullptr);
    now += ms(1);
    check_refused(submit_with_key());
    CHECK(find_command<send_request>(submit("/pay/x")) != nullptr);
}

TEST(withdrawn_keys, without_a_limit_an_entry_acts_on_what_it_last_heard)
{
    start_with_key(4, duration::zero());
    now += std::chrono::hours(1);
    CHECK(find_command<send_request>(submit_with_key()) != nullptr);
}

TEST(withdrawn_keys, a_pause_between_the_decision_and_the_send_is_seen)
{
    for (duration const pause : {ms(1'000), ms(3'999), ms(4'000), ms(10'000)}) {
        start_with_key(1);
        engine->confirm_keys(now);
        auto const commands = submit_with_key();
        send_request const* const sent = find_command<send_request>(commands);
        CHECK(sent != nullptr);
        CHECK(engine->may_still_send(*sent, now));
        now += pause;
        CHECK_EQUAL(pause < revocation_limit, engine->may_still_send(*sent, now));
    }
}

TEST(withdrawn_keys, a_send_on_a_public_route_needs_no_proof)
{
    start_with_key(1);
    auto const commands = submit("/pay/x");
    CHECK(engine->may_still_send(*find_command<send_request>(commands), now + ms(10'000)));
}

TEST(withdrawn_keys, a_send_that_was_not_begun_is_refused_as_not_run_and_blames_no_upstream)
{
    start_with_key(1);
    engine->confirm_keys(now);
    submit_with_key("/read/x", ms(60'000));
    now += ms(5'000);
    check_refused(end_send(last_request, send_result::not_permitted));
    LONGS_EQUAL(0, engine->requests_under_way());
    engine->confirm_keys(now);
    // The only upstream has its slot back and isn't ejected.
    CHECK(find_command<send_request>(submit_with_key()) != nullptr);
    CHECK(find_command<probe_upstream>(advance_time(ms(500))) == nullptr);
}

TEST(withdrawn_keys, a_repeat_that_was_not_begun_may_have_run)
{
    start_with_key(2);
    engine->confirm_keys(now);
    submit_with_key("/read/x", ms(60'000));
    CHECK(find_command<send_request>(end_send(last_request, send_result::broken)) != nullptr);
    auto const commands = end_send(last_request, send_result::not_permitted);
    LONGS_EQUAL(502, find_command<refuse_request>(commands)->status);
}

TEST(withdrawn_keys, waiting_requests_are_refused_at_once_when_the_proof_is_too_old)
{
    start_with_key(1);
    engine->confirm_keys(now - revocation_limit + ms(50));
    submit_with_key();
    submit_with_key();
    LONGS_EQUAL(2, engine->requests_under_way());
    check_refused(advance_time(ms(300)));
    LONGS_EQUAL(1, engine->requests_under_way());
}

TEST(withdrawn_keys, a_key_of_an_older_configuration_is_not_known_to_the_next)
{
    start_with_key(4);
    engine->confirm_keys(now);
    auto const next = sample_document();
    next->version = configuration_version(next->version.get() + 1);
    next->identifies_callers = true;
    engine->update_document(next, now);
    auto const commands = submit_with_key();
    LONGS_EQUAL(401, find_command<refuse_request>(commands)->status);
}
