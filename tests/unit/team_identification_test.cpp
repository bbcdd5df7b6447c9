// Callers' keys, the teams they belong to, and what entries do when they know too little of them.
#include "platform/operator_documents.hpp"
#include "platform/platform_dialect.hpp"

#include "tests/fakes/forwarding_harness.hpp"

#include <CppUTest/TestHarness.h>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr duration revocation_limit = std::chrono::seconds(5);

team_settings sample_team(char const* name, char const* key, unsigned urgency_rank)
{
    team_settings team;
    team.name = team_name(name);
    team.keys = {digest_of_key(key)};
    team.urgency_rank = urgency_rank;
    return team;
}

/// Counts what it is asked and answers what the test sets.
class fake_quota_gate final : public quota_gate
{
public:
    quota_answer ask(request_id, team_settings const&, time_point) override
    {
        ++asked;
        return answer;
    }
    void give_back(request_id, team_settings const&, time_point) override { ++given_back; }

    quota_answer answer;
    unsigned asked = 0;
    unsigned given_back = 0;
};

} // namespace

TEST_GROUP_BASE(team_identification, forwarding_harness)
{
    fake_quota_gate gate;

    void start_with_teams(unsigned upstreams, team_quota quota = {})
    {
        forwarding_options options{.instance = instance_name("e"),
                                   .place = place_name("p"),
                                   .region = region_name("r"),
                                   .retry_budget = {.max_retry_ratio = 0.2, .fixed_retries = 100},
                                   .key_trust = {.revocation_limit = revocation_limit}};
        engine = std::make_unique<forwarding_engine>(std::move(options), random);
        engine->update_entries({{instance_name("e"), region_name("r")}});
        auto const document = sample_document();
        document->identifies_callers = true;
        document->teams = {sample_team("north", "key-n", 3), sample_team("south", "key-s", 0)};
        document->teams[0].quota = quota;
        document->teams[1].home_regions = {region_name("elsewhere")};
        document->routes[1].is_public = true;
        engine->update_document(document, now);
        engine->update_upstreams(sample_upstreams(upstreams), now);
        engine->set_quota_gate(gate);
        engine->confirm_keys(now);
    }

    forwarding_engine::commands submit_with_key(char const* key, std::string path = "/read/x")
    {
        request_arrival arrival = make_request(std::move(path));
        if (key != nullptr)
            arrival.key = digest_of_key(key);
        return engine->submit(std::move(arrival), now);
    }

    int refusal_status(forwarding_engine::commands const& commands)
    {
        refuse_request const* const refused = find_command<refuse_request>(commands);
        return refused == nullptr ? 0 : refused->status;
    }
};

TEST(team_identification, the_key_decides_the_team)
{
    start_with_teams(4);
    auto const commands = submit_with_key("key-n");
    send_request const* const sent = find_command<send_request>(commands);
    CHECK(sent != nullptr);
    CHECK(sent->caller && sent->caller->team == team_name("north"));
}

TEST(team_identification, unknown_and_missing_keys_are_denied_while_knowledge_is_fresh)
{
    start_with_teams(4);
    LONGS_EQUAL(401, refusal_status(submit_with_key("key-x")));
    LONGS_EQUAL(401, refusal_status(submit_with_key(nullptr)));
}

TEST(team_identification, a_possibly_new_key_is_not_denied)
{
    start_with_teams(4);
    now += ms(1'500);
    auto const commands = submit_with_key("key-x");
    LONGS_EQUAL(503, refusal_status(commands));
    CHECK(find_command<refuse_request>(commands)->retry_after.has_value());
}

TEST(team_identification, a_key_is_useless_once_knowledge_is_too_old_and_public_routes_are_served)
{
    start_with_teams(4);
    now += revocation_limit;
    LONGS_EQUAL(503, refusal_status(submit_with_key("key-n")));
    CHECK(find_command<send_request>(submit_with_key(nullptr, "/pay/x")) != nullptr);
    engine->confirm_keys(now);
    CHECK(find_command<send_request>(submit_with_key("key-n")) != nullptr);
}

TEST(team_identification, a_waiting_request_is_not_sent_after_its_key_became_doubtful)
{
    start_with_teams(1);
    submit_with_key("key-n");
    now += ms(10);
    submit_with_key("key-n");
    engine->forget_key_confirmation();
    auto const commands = end_send(1, send_result::answered, 200);
    CHECK(find_command<send_request>(commands) == nullptr);
}

TEST(team_identification, public_routes_state_no_team)
{
    start_with_teams(4);
    auto const commands = submit_with_key("x", "/pay/x");
    send_request const* const sent = find_command<send_request>(commands);
    CHECK(sent != nullptr);
    CHECK(sent->caller && sent->caller->team == team_name());
}

TEST(team_identification, homes_of_the_team_bind_beside_those_of_the_route)
{
    start_with_teams(4);
    CHECK(find_command<send_request>(submit_with_key("key-s")) == nullptr);
}

TEST(team_identification, the_team_goes_before_the_route_in_the_order_of_sending)
{
    start_with_teams(1);
    submit_with_key("key-n");
    submit_with_key("key-n");
    // The route of this request is more urgent than the others', and so is its rank as a public
    // one.
    submit_with_key(nullptr, "/pay/x");
    auto const commands = end_send(1, send_result::answered, 200);
    CHECK(find_command<send_request>(commands)->id == request_id(3));
}

TEST(team_identification, over_quota_is_refused_at_once_with_the_time_of_the_next_token)
{
    start_with_teams(4, {.requests_per_s = 1, .burst = 1});
    gate.answer = {.verdict = quota_verdict::over_quota, .retry_after = ms(700)};
    auto const commands = submit_with_key("key-n");
    LONGS_EQUAL(429, refusal_status(commands));
    CHECK(find_command<refuse_request>(commands)->retry_after == ms(700));
    LONGS_EQUAL(0, gate.given_back);
}

TEST(team_identification, a_request_waits_for_a_pending_verdict)
{
    start_with_teams(4, {.requests_per_s = 1, .burst = 1});
    gate.answer = {.verdict = quota_verdict::pending, .retry_after = {}};
    CHECK(submit_with_key("key-n").empty());
    auto const commands = engine->handle_quota_answer(request_id(1), {}, now);
    CHECK(find_command<send_request>(commands) != nullptr);
    LONGS_EQUAL(0, gate.given_back);
}

TEST(team_identification, the_token_of_a_refused_request_is_given_back)
{
    start_with_teams(0, {.requests_per_s = 1, .burst = 1});
    LONGS_EQUAL(503, refusal_status(submit_with_key("key-n")));
    LONGS_EQUAL(1, gate.given_back);
}

TEST(team_identification, a_quota_that_no_one_counts_is_refused_as_unavailable)
{
    start_with_teams(4, {.requests_per_s = 1, .burst = 1});
    gate.answer = {.verdict = quota_verdict::undecided, .retry_after = ms(70)};
    auto const at_once = submit_with_key("key-n");
    LONGS_EQUAL(503, refusal_status(at_once));
    CHECK(find_command<refuse_request>(at_once)->retry_after == ms(70));
    gate.answer = {.verdict = quota_verdict::pending, .retry_after = {}};
    submit_with_key("key-n");
    auto const later = engine->handle_quota_answer(
        request_id(2), {.verdict = quota_verdict::undecided, .retry_after = ms(70)}, now);
    LONGS_EQUAL(503, refusal_status(later));
}

TEST(team_identification, a_caller_that_leaves_withdraws_its_question)
{
    start_with_teams(4, {.requests_per_s = 1, .burst = 1});
    gate.answer = {.verdict = quota_verdict::pending, .retry_after = {}};
    submit_with_key("key-n");
    engine->handle_caller_disconnect(request_id(1), now);
    LONGS_EQUAL(1, gate.given_back);
    CHECK(engine->handle_quota_answer(request_id(1), {}, now).empty());
}

TEST(team_identification, a_late_verdict_sends_nothing_that_a_planned_stop_would_cut)
{
    start_with_teams(4, {.requests_per_s = 1, .burst = 1});
    gate.answer = {.verdict = quota_verdict::pending, .retry_after = {}};
    submit_with_key("key-n");
    engine->begin_stop(now + ms(100), now);
    auto const commands = engine->handle_quota_answer(request_id(1), {}, now);
    LONGS_EQUAL(503, refusal_status(commands));
    CHECK(find_command<send_request>(commands) == nullptr);
}

TEST(team_identification, a_send_without_room_here_blames_no_upstream)
{
    start_with_teams(1);
    submit_with_key("key-n");
    LONGS_EQUAL(503, refusal_status(end_send(1, send_result::no_room_here)));
    auto const commands = submit_with_key("key-n");
    CHECK(find_command<send_request>(commands) != nullptr);
}

TEST(team_identification, the_adapter_removes_the_key_and_sets_the_team)
{
    platform::platform_dialect const dialect;
    http1::message_head head{.method = "GET", .target = "/read/x"};
    head.headers.add("x-key", "key-n");
    head.headers.add("x-tenant", "forged");
    CHECK(dialect.read_request(head).key == digest_of_key("key-n"));
    auto const headers = dialect.upstream_headers(head, upstream_name("u"), ms(100),
                                                  caller_identity{.team = team_name("north")});
    CHECK(!headers.contains("x-key"));
    STRCMP_EQUAL("north", std::string(headers.find("x-tenant")).c_str());
    auto const public_headers =
        dialect.upstream_headers(head, upstream_name("u"), ms(100), caller_identity{});
    CHECK(!public_headers.contains("x-tenant"));
}

TEST(team_identification, the_adapter_reads_teams)
{
    auto const parse = [](std::string const& teams) {
        std::string const text = R"({"version":"r7","listeners":[],"clusters":[],"tenants":)";
        return platform::parse_routing_document(text + teams + "}");
    };
    auto const document = parse(R"([{"name":"north","apiKeys":["a","b"],"priority":2,)"
                                R"("ratePerS":9.5,"burst":4,"homeRegions":["r"]}])");
    CHECK(document.has_value());
    CHECK(document->identifies_callers);
    team_settings const& team = document->teams.at(0);
    CHECK(team.keys == (std::vector{digest_of_key("a"), digest_of_key("b")}));
    LONGS_EQUAL(2, team.urgency_rank);
    CHECK(team.quota == (team_quota{.requests_per_s = 9.5, .burst = 4}));
    CHECK(team.home_regions == std::vector{region_name("r")});
    CHECK(!parse(R"([{"name":"north","apiKeys":[17]}])").has_value());
    CHECK(!parse(R"([{"apiKeys":[]}])").has_value());
}
