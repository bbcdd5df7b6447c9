#include "libraries/net/http_client.hpp"

#include "tests/fakes/endless_server.hpp"
#include "tests/fakes/harness.hpp"

#include <memory>
#include <optional>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::size_t max_body_bytes = std::size_t{64} * 1024;
/// Far beyond the time that a call with an answer over a limit takes.
constexpr duration deadline = std::chrono::seconds(20);
constexpr duration test_time = std::chrono::seconds(10);
std::string const ok = "HTTP/1.1 200 OK\r\n";
std::string const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(std::string const& part, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += part;
    return text;
}

call_options options_for(endless_server const& server)
{
    return {.to = server.at(),
            .path = "/",
            .headers = {},
            .body = {},
            .deadline = deadline,
            .local_ip = {}};
}

/// Stops the loop when so many bytes of a body have arrived.
class waiting_listener final : public call_listener
{
public:
    waiting_listener(event_loop& loop, std::size_t awaited_bytes)
        : loop_(loop), awaited_bytes_(awaited_bytes)
    {}

    void on_head(http_head const&) override {}
    bool on_body(std::string_view bytes) override
    {
        received_bytes_ += bytes.size();
        if (received_bytes_ >= awaited_bytes_)
            loop_.stop();
        return true;
    }
    void on_done(call_end) override { loop_.stop(); }

private:
    event_loop& loop_;
    std::size_t awaited_bytes_;
    std::size_t received_bytes_ = 0;
};

/// Returns how a call to a server ends that sends `start` and then `part` without end, or nothing
/// if it goes on.
std::optional<call_end> end_of_call(std::string const& start, std::string const& part)
{
    event_loop loop;
    endless_server const server(start, part);
    http_client client(loop, {});
    std::optional<call_end> end;
    client.fetch(options_for(server), max_body_bytes,
                 [&](http_client::fetch_result const& received) {
                     end = received.end;
                     loop.stop();
                 });
    timer time_limit(loop);
    time_limit.start_once(test_time, [&] { loop.stop(); });
    loop.run();
    return end;
}

} // namespace

TEST_GROUP(http_client_endless){};

// Guards against a trailer without end, which libcurl and the client kept whole: 395 MB in 3 s.
TEST(http_client_endless, trailer_without_end_ends_the_call)
{
    CHECK(end_of_call(chunked + "0\r\n", repeated("t: v\r\n", 1'000)) == call_end::broken);
}

TEST(http_client_endless, head_without_end_ends_the_call)
{
    CHECK(end_of_call(ok, repeated("a:\r\n", 1'000)) == call_end::broken);
    CHECK(end_of_call(ok + "a: ", repeated("v", 4'096)) == call_end::broken);
    CHECK(end_of_call("", repeated("HTTP/1.1 100 Continue\r\na: b\r\n\r\n", 500)) ==
          call_end::broken);
    CHECK(end_of_call("HTTP/1.1 200 ", repeated("r", 4'096)) == call_end::broken);
    CHECK(end_of_call("", repeated("\x01\xfe", 4'096)) == call_end::broken);
}

// Guards against a call that reads on, to its deadline, what it can't use.
TEST(http_client_endless, body_over_the_limit_ends_the_call)
{
    CHECK(end_of_call(ok + "\r\n", repeated("b", 4'096)) == call_end::broken);
    CHECK(end_of_call(chunked, repeated("1\r\nc\r\n", 1'000)) == call_end::broken);
}

// Guards against chunks of one byte, each of which is passed on by itself.
TEST(http_client_endless, body_in_tiny_chunks_ends_the_call)
{
    std::string const end = "0\r\n\r\n";
    CHECK(end_of_call(chunked + repeated("1\r\nc\r\n", 20'000) + end, "x") == call_end::broken);
    CHECK(end_of_call(chunked + repeated("1\r\nc\r\n", 2'000) + end, "x") == call_end::complete);
}

// Guards against bytes that libcurl reads until the deadline without showing them.
TEST(http_client_endless, chunk_extension_without_end_ends_the_call)
{
    CHECK(end_of_call(chunked + "1;", repeated("e", 4'096)) == call_end::broken);
    CHECK(end_of_call(chunked, repeated("5;" + std::string(500, 'e') + "\r\nhello\r\n", 50)) ==
          call_end::broken);
}

// The longest answers that upstreams may give have few fields and large chunks.
TEST(http_client_endless, answer_below_the_limits_is_complete)
{
    std::string const fields = repeated("X-Field: some value\r\n", 100);
    std::string const chunk = "1000\r\n" + std::string(0x1000, 'c') + "\r\n";
    CHECK(end_of_call(ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + repeated(chunk, 15) +
                          "0\r\n\r\n",
                      "x") == call_end::complete);
}

// Guards against many bodies of the permitted size at the same time: with 32 operators who asked
// what the platform couldn't answer, 98 MB.
TEST(http_client_endless, collected_bodies_share_a_limit)
{
    std::string const body = repeated("b", 4'096);
    endless_server const slow_server(ok + "\r\n" + body, "b", std::chrono::milliseconds(100));
    endless_server const first_server(ok + "\r\n", body);
    endless_server const second_server(ok + "\r\n", body);
    event_loop loop;
    http_client client(loop, {.max_collected_bytes = body.size()});
    auto const end_of_fetch = [&](endless_server const& server) {
        std::optional<call_end> end;
        client.fetch(options_for(server), max_body_bytes,
                     [&](http_client::fetch_result const& received) {
                         end = received.end;
                         loop.stop();
                     });
        loop.run();
        return end;
    };

    waiting_listener listener(loop, body.size());
    call_options slow_options = options_for(slow_server);
    slow_options.collects_body = true;
    call_number const slow_call = client.start(slow_options, listener);
    loop.run();
    CHECK(end_of_fetch(first_server) == call_end::broken);
    LONGS_EQUAL(1, client.broken_by(http1::answer_limit::together));

    // The only one may take as much as its own limit allows.
    client.cancel(slow_call);
    CHECK(end_of_fetch(second_server) == call_end::broken);
    LONGS_EQUAL(1, client.broken_by(http1::answer_limit::together));
    LONGS_EQUAL(1, client.broken_by(http1::answer_limit::body));
}
