// Fuzzing target: documents that other programs write to the platform's store, and the headers of
// upstreams. Whatever is accepted must be within the limits that the rest of the program relies on.
#include "tests/fuzz/fuzz_target.hpp"

#include "platform/json_access.hpp"
#include "platform/operator_documents.hpp"
#include "platform/platform_dialect.hpp"

#include "libraries/discovery/registry_update.hpp"
#include "libraries/wire/codec.hpp"

#include <cstdlib>
#include <string_view>

namespace {

using namespace burdockstep;

void require(bool condition)
{
    if (!condition)
        std::abort();
}

void read_registration(std::string_view text)
{
    upstream_name const name("i-1");
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(registration, platform::parse_registration(name, text));
            require(registration.at.port != 0);
            require(registration.slots.get() > 0 && registration.slots.get() <= 65'535);
            require(registration.cold_left >= duration::zero());
            upstream_record const record{
                .registration = registration, .written_at = {}, .removed_at = {}};
            for (wire::registry_update_message const& each :
                 make_registry_update_pieces({}, {}, {record}))
                require(wire::encode(each).size() <= wire::max_datagram_bytes);
            return {};
        },
        [](failure const&) {});
}

void read_documents(std::string_view text)
{
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(document, platform::parse_routing_document(text));
            for (route const& each : document.routes)
                require(each.max_upstreams >= 1 && each.timeout >= duration::zero());
            return {};
        },
        [](failure const&) {});
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_CHECK(platform::parse_entry_record(instance_name("e"), text));
            return {};
        },
        [](failure const&) {});
    platform::decode_base64(text);
}

void read_headers(std::string_view text)
{
    platform::platform_dialect const dialect;
    for (char const* name : {"x-backend-load", "x-cold-ms", "retry-after", "x-deadline-ms",
                             "cookie", "connection", "server-leaving"}) {
        http1::message_head const head{
            .method = "GET", .target = "/", .status = 503, .headers = {{name, std::string(text)}}};
        dialect.read_answer(head);
        dialect.read_request(head);
        dialect.caller_headers(head);
        upstream_notice const notice = dialect.read_notice(head);
        require(!notice.retry_after || *notice.retry_after > duration::zero());
        probe_report const probe = dialect.read_health(head, upstream_name("u"));
        require(!probe.cold_left || *probe.cold_left >= duration::zero());
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes, std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const*>(bytes), size);
    read_registration(text);
    read_documents(text);
    read_headers(text);
    return 0;
}

std::vector<std::string> burdockstep::fuzz::sample_inputs()
{
    std::string const registration =
        R"({"address":"10.0.0.1:80","info":{"service":"s","version":"v1","zone":"z","slots":3},)"
        R"("status":{"state":"ready","seq":4,"coldLeftMs":120},"born":99})";
    std::string const routing_document =
        R"({"version":"r12","limits":{"headerBytes":16384,"maxBodyBytes":1000,)"
        R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"listeners":[{"host":"h","rules":[)"
        R"({"name":"a","kind":"idempotent","targetLatencyMs":300,"priority":1,"affinity":true,)"
        R"("match":{"prefix":"/pay/"},"action":{"split":[{"service":"s1","weight":90}],)"
        R"("timeoutMs":2500,"maxAttempts":2,"homeRegions":["bac"]}}]}],)"
        R"("clusters":[{"name":"s1","healthPath":"/health","maxConns":330,"coldStartS":3.0,)"
        R"("coldPerS":4.9}]})";
    return {registration,
            routing_document,
            R"({"place":"p","region":"r","callers":"10.0.0.1:80","peers":"10.0.0.1:81"})",
            "3,0,8,150",
            "1.5",
            "aGVsbG8="};
}
