#include "platform/json_access.hpp"
#include "platform/operator_documents.hpp"
#include "platform/platform_dialect.hpp"

#include "tests/fakes/harness.hpp"

#include <string>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::string_view document_text = R"({"version":"r12",
"limits":{"headerBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","rules":[
 {"name":"a","kind":"non_idempotent","targetLatencyMs":300,"priority":1,"affinity":true,
  "match":{"prefix":"/pay/"},
  "action":{"service":"s1","timeoutMs":2500,"maxAttempts":2,"homeRegions":["bac"]}},
 {"name":"b","kind":"download","targetLatencyMs":250,"priority":2,"affinity":false,
  "match":{"prefix":"/get/"},
  "action":{"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
            "timeoutMs":1500,"maxAttempts":3}}]}],
"clusters":[{"name":"s1","healthPath":"/health","maxConns":330,"coldStartS":3.0,"coldPerS":4.9},
            {"name":"s2","healthPath":"/up","maxConns":30}]})";

bool parses_as_registration(std::string const& text)
{
    return static_cast<bool>(leaf::try_handle_all(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(platform::parse_registration(upstream_name("i-1"), text));
            return true;
        },
        [] { return false; }));
}

http1::message_head request_head()
{
    return {.method = "GET",
            .target = "/x",
            .headers = {{"host", "h"},
                        {"x-request-id", "id7"},
                        {"x-deadline-ms", "1200"},
                        {"cookie", "a=b; X-Affinity-Key=17; c=d"},
                        {"connection", "keep-alive, X-Hop"},
                        {"x-hop", "1"},
                        {"x-expect-instance", "forged"},
                        {"x-other", "kept"}}};
}

} // namespace

TEST_GROUP(platform_adapter)
{
    platform::platform_dialect dialect;
};

TEST(platform_adapter, routing_document_is_parsed_into_the_routing_model)
{
    auto const read = platform::parse_routing_document(document_text);
    CHECK(static_cast<bool>(read));
    routing_document const& document = read.value();
    LONGS_EQUAL(12, document.version.get());
    LONGS_EQUAL(2, document.routes.size());
    route const& pay = document.routes[0];
    CHECK(pay.kind == request_kind::non_idempotent);
    CHECK(pay.latency_objective == ms(300));
    CHECK(pay.timeout == ms(2'500));
    LONGS_EQUAL(2, pay.max_upstreams);
    LONGS_EQUAL(1, pay.home_regions.size());
    LONGS_EQUAL(2, document.routes[1].services.size());
    DOUBLES_EQUAL(4.9, document.services[0].cold_requests_per_s, 1e-9);
    CHECK(document.limits.idle_timeout == ms(15'000));
}

TEST(platform_adapter, malformed_routing_documents_are_rejected)
{
    for (std::string_view text : {std::string_view("{"), std::string_view("[]"),
                                  std::string_view(R"({"version":"12","listeners":[]})"),
                                  std::string_view(R"({"version":"r1","listeners":{}})")})
        CHECK(!platform::parse_routing_document(text));
    std::string document_with_unknown_kind(document_text);
    document_with_unknown_kind.replace(document_with_unknown_kind.find("download"), 8, "upload");
    CHECK(!platform::parse_routing_document(document_with_unknown_kind));
}

TEST(platform_adapter, registrations_with_missing_or_invalid_fields_are_rejected)
{
    std::string const valid_registration =
        R"({"address":"10.0.0.1:80","info":{"service":"s","version":"v1","zone":"z","slots":3},)"
        R"("status":{"state":"ready","seq":4,"coldLeftMs":120},"born":99})";
    auto const read = platform::parse_registration(upstream_name("i-1"), valid_registration);
    CHECK(static_cast<bool>(read));
    LONGS_EQUAL(3, read.value().slots.get());
    CHECK(read.value().cold_left == ms(120));
    LONGS_EQUAL(99, read.value().started_ms);
    struct corruption
    {
        char const* original;
        char const* replacement;
    };
    for (corruption const each : {corruption{"\"10.0.0.1:80\"", "17"},
                                  {"\"10.0.0.1:80\"", "\"nowhere\""},
                                  {"\"service\":\"s\"", "\"service\":null"},
                                  {"\"slots\":3", "\"slots\":\"3\""},
                                  {"\"slots\":3", "\"slots\":0"},
                                  {"\"ready\"", "\"resting\""},
                                  {"\"seq\":4", "\"s\":4"},
                                  {"{\"address\"", "\x80{\"address\""}}) {
        std::string corrupted = valid_registration;
        corrupted.replace(corrupted.find(each.original), std::string(each.original).size(),
                          each.replacement);
        CHECK_TEXT(!parses_as_registration(corrupted), each.replacement);
    }
    CHECK(parses_as_registration(valid_registration));
}

TEST(platform_adapter, base64_round_trips)
{
    std::vector<std::string> const all{"", "a", "ab", "abc", std::string("\0\xff\n", 3)};
    for (std::string const& bytes : all) {
        auto const decoded = platform::decode_base64(platform::encode_base64(bytes));
        CHECK(decoded == bytes);
    }
    CHECK(!platform::decode_base64("*not base64*"));
}

TEST(platform_adapter, connection_headers_are_not_forwarded_to_upstreams)
{
    auto const arrival = dialect.read_request(request_head());
    CHECK(arrival.time_left == ms(1'200));
    CHECK(arrival.object != 0);
    auto const headers =
        dialect.upstream_headers(request_head(), upstream_name("i-9"), ms(750), {});
    STRCMP_EQUAL("750", std::string(headers.find("x-deadline-ms")).c_str());
    STRCMP_EQUAL("i-9", std::string(headers.find("x-expect-instance")).c_str());
    STRCMP_EQUAL("id7", std::string(headers.find("x-request-id")).c_str());
    STRCMP_EQUAL("kept", std::string(headers.find("x-other")).c_str());
    CHECK(!headers.contains("x-hop"));
    CHECK(!headers.contains("connection"));
}

TEST(platform_adapter, answers_tell_whether_the_request_ran)
{
    CHECK(dialect.read_answer({.status = 503, .headers = {}}).result == send_result::answered);
    CHECK(dialect.read_answer({.status = 503, .headers = {{"x-not-executed", "1"}}}).result ==
          send_result::shed);
    CHECK(dialect.read_answer({.status = 421, .headers = {}}).result ==
          send_result::other_instance);
    auto const answer_with_load =
        dialect.read_answer({.status = 200, .headers = {{"x-backend-load", "3,1,8,250"}}});
    LONGS_EQUAL(3, answer_with_load.load->running);
    LONGS_EQUAL(1, answer_with_load.load->waiting);
    DOUBLES_EQUAL(2.5, answer_with_load.load->slowness, 1e-9);
    CHECK(!dialect.read_answer({.status = 200, .headers = {{"x-backend-load", "a,b"}}}).load);
}

TEST(platform_adapter, health_answers_of_another_instance_are_unhealthy)
{
    http1::message_head const head{.status = 200,
                                   .headers = {{"x-instance-id", "i-2"}, {"x-cold-ms", "900"}}};
    auto const other = dialect.read_health(head, upstream_name("i-1"));
    CHECK(!other.healthy && other.is_other_instance);
    auto const own = dialect.read_health(head, upstream_name("i-2"));
    CHECK(own.healthy && own.cold_left == ms(900));
}

TEST(platform_adapter, refusals_carry_retry_after_in_seconds)
{
    auto const answer = dialect.gateway_answer(request_head(), 503, ms(45));
    STRCMP_EQUAL("0.045", std::string(answer.headers.find("retry-after")).c_str());
    CHECK(!dialect.gateway_answer(request_head(), 502, {}).headers.contains("retry-after"));
}

TEST(platform_adapter, lookups_are_parsed_and_answered)
{
    auto const question =
        dialect.read_lookup({.target = "/v1/resolve?name=h&region=bac&zone=bac-hanoi"});
    CHECK(question.has_value());
    STRCMP_EQUAL("bac-hanoi", question->place.get().c_str());
    CHECK(!dialect.read_lookup({.target = "/v1/other"}));
    auto const answer = dialect.lookup_answer({{.ip = 0x0a00000f, .port = 8641}}, ms(2'000));
    CHECK(answer.body.find("10.0.0.15:8641") != std::string::npos);
}
