#include "libraries/http1/client.hpp"

#include "tests/fakes/endless_server.hpp"
#include "tests/fakes/harness.hpp"

#include <memory>
#include <optional>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::size_t bytes_per_kib = 1'024;
constexpr char const* head_with_own_id = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n";

/// A large part, sent again and again, keeps the number of system calls low.
std::string repeated(std::string const& part, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += part;
    return text;
}

} // namespace

TEST_GROUP(endless_answer)
{
    event_loop loop;
    system_clock_source clock;
    std::unique_ptr<http1::client> client;

    void setup() override
    {
        client = std::make_unique<http1::client>(
            loop, clock,
            http1::client_limits{.max_body_bytes = 256 * bytes_per_kib,
                                 .max_call_bytes = 1'024 * bytes_per_kib});
    }

    void teardown() override
    {
        client.reset();
    }

    /// Calls a server that sends `start` once and then `part` without end. Returns nothing if the
    /// call hasn't ended by itself after this time.
    std::optional<http1::call_end> call_endless_server(
        std::string const& start, std::string const& part,
        duration time_limit = std::chrono::seconds(3))
    {
        endless_server const server(start, part);
        std::optional<http1::call_end> end;
        client->start({.to = server.at(),
                       .headers = {},
                       .body = {},
                       .answer_id = {.name = "x-id", .value = "mine"}},
                      [&](http1::call_result const& result) {
                          end = result.end;
                          loop.stop();
                      });
        run_loop(time_limit);
        client.reset();
        return end;
    }

    /// Runs the loop until it is stopped, at most for the time limit.
    void run_loop(duration time_limit = std::chrono::seconds(3))
    {
        timer time_limit_timer(loop);
        time_limit_timer.start_once(time_limit, [&] { loop.stop(); });
        loop.run();
    }
};

TEST(endless_answer, bytes_that_are_no_http_end_the_call)
{
    CHECK(call_endless_server("", repeated("noise ", 1'000)) == http1::call_end::broken);
}

TEST(endless_answer, header_without_end_ends_the_call)
{
    CHECK(call_endless_server("HTTP/1.1 200 OK\r\nX-Long: ", repeated("a", 4'096)) ==
          http1::call_end::broken);
}

TEST(endless_answer, headers_without_end_end_the_call)
{
    CHECK(call_endless_server("HTTP/1.1 200 OK\r\n", repeated("X-A: b\r\n", 500)) ==
          http1::call_end::broken);
}

// Guards against heads of tiny fields, which take many times their bytes of memory.
TEST(endless_answer, answer_with_more_fields_than_the_limit_ends_the_call)
{
    std::string const start = head_with_own_id;
    std::string const fields = repeated("a:\r\n", 600) + "\r\n";
    CHECK(call_endless_server(start + "Content-Length: 0\r\n" + fields, "x") ==
          http1::call_end::broken);
    setup();
    CHECK(call_endless_server(start + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields, "x") ==
          http1::call_end::broken);
}

// Guards against bytes that belong to no body: they take the process's time. The client checks the
// limit after each read.
TEST(endless_answer, framing_is_limited_below_the_limit_of_a_whole_call)
{
    auto const end_of_call = [&](std::string const& answer) {
        client = std::make_unique<http1::client>(
            loop, clock, http1::client_limits{.max_framing_bytes = 16 * bytes_per_kib});
        return call_endless_server(answer, "x");
    };
    std::string const start = std::string(head_with_own_id) + "Transfer-Encoding: chunked\r\n\r\n";
    std::string const end = "0\r\n\r\n";
    CHECK(end_of_call(repeated("HTTP/1.1 100 Continue\r\n\r\n", 8'000) + start + end) ==
          http1::call_end::broken);
    CHECK(end_of_call(start + repeated("1\r\nc\r\n", 30'000) + end) == http1::call_end::broken);
    CHECK(end_of_call(start + repeated("1\r\nc\r\n", 1'000) + end) == http1::call_end::complete);
}

// Guards against a limit on framing that breaks an answer of the largest size.
TEST(endless_answer, largest_body_in_chunks_of_half_a_kib_is_complete)
{
    client = std::make_unique<http1::client>(loop, clock, http1::client_limits{});
    std::size_t const chunks = 2 * http1::client_limits{}.max_body_bytes / bytes_per_kib;
    std::string const chunk = "200\r\n" + std::string(bytes_per_kib / 2, 'b') + "\r\n";
    std::string const answer = std::string(head_with_own_id) +
                               "Transfer-Encoding: chunked\r\n\r\n" + repeated(chunk, chunks) +
                               "0\r\n\r\n";
    CHECK(call_endless_server(answer, "x", std::chrono::seconds(30)) == http1::call_end::complete);
}

TEST(endless_answer, reason_phrase_without_end_ends_the_call)
{
    CHECK(call_endless_server("HTTP/1.1 200 ", repeated("OK ", 1'000)) == http1::call_end::broken);
}

TEST(endless_answer, body_without_length_and_end_ends_the_call)
{
    CHECK(call_endless_server(std::string(head_with_own_id) + "\r\n", repeated("b", 4'096)) ==
          http1::call_end::broken);
}

TEST(endless_answer, interim_answers_without_end_end_the_call)
{
    CHECK(call_endless_server("", repeated("HTTP/1.1 100 Continue\r\n\r\n", 200)) ==
          http1::call_end::broken);
}

TEST(endless_answer, answers_to_other_requests_without_end_end_the_call)
{
    CHECK(call_endless_server(
              "", repeated("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nabc",
                           100)) == http1::call_end::broken);
}

TEST(endless_answer, body_of_an_answer_to_another_request_without_end_ends_the_call)
{
    CHECK(call_endless_server("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", repeated("b", 4'096)) ==
          http1::call_end::broken);
}

TEST(endless_answer, chunk_extensions_without_end_end_the_call)
{
    std::string const start = std::string(head_with_own_id) + "Transfer-Encoding: chunked\r\n\r\n";
    CHECK(call_endless_server(start, repeated("1;" + std::string(500, 'e') + "\r\nb\r\n", 16)) ==
          http1::call_end::broken);
    setup();
    CHECK(call_endless_server(start + "1;", repeated("e", 4'096)) == http1::call_end::broken);
}

TEST(endless_answer, trailers_without_end_end_the_call)
{
    std::string const start =
        std::string(head_with_own_id) + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    CHECK(call_endless_server(start, repeated("X-A: b\r\n", 500)) == http1::call_end::broken);
}

TEST(endless_answer, bytes_that_follow_a_complete_answer_are_not_read)
{
    CHECK(call_endless_server(std::string(head_with_own_id) + "Content-Length: 3\r\n\r\nabc",
                              repeated("more ", 1'000)) == http1::call_end::complete);
}

TEST(endless_answer, slow_bytes_without_end_end_the_call_at_its_time_limit)
{
    endless_server const server(std::string(head_with_own_id) + "\r\n", "b", ms(5));
    std::optional<http1::call_end> end;
    client->start({.to = server.at(),
                   .headers = {},
                   .body = {},
                   .answer_id = {},
                   .answer_timeout = ms(1'000),
                   .call_timeout = ms(200)},
                  [&](http1::call_result const& result) {
                      end = result.end;
                      loop.stop();
                  });
    run_loop();
    client.reset();
    CHECK(end == http1::call_end::broken);
}

TEST(endless_answer, bodies_of_all_calls_together_are_bounded_by_ending_the_largest)
{
    client = std::make_unique<http1::client>(
        loop, clock, http1::client_limits{.max_buffered_bytes = 512 * bytes_per_kib});
    std::string const start = std::string(head_with_own_id) + "\r\n";
    endless_server const fast(start, repeated("b", 4'096));
    endless_server const slow(start, "b", ms(5));
    auto const call_to = [](endless_server const& server) {
        return http1::call_options{.to = server.at(), .headers = {}, .body = {}, .answer_id = {}};
    };
    std::optional<http1::call_end> fast_end;
    bool slow_ended = false;
    client->start(call_to(slow), [&](http1::call_result const&) { slow_ended = true; });
    client->start(call_to(fast), [&](http1::call_result const& result) {
        fast_end = result.end;
        loop.stop();
    });
    run_loop();
    LONGS_EQUAL(1, client->counters().answers_dropped_for_memory);
    client.reset();
    CHECK(fast_end == http1::call_end::broken);
    CHECK(!slow_ended);
}

TEST(endless_answer, cancelled_calls_take_no_part_of_the_memory)
{
    client = std::make_unique<http1::client>(
        loop, clock, http1::client_limits{.max_buffered_bytes = 512 * bytes_per_kib});
    std::string const start = std::string(head_with_own_id) + "\r\n";
    for (int i = 0; i < 4; ++i) {
        endless_server const server(start, repeated("b", 4'096));
        http1::call_number const call =
            client->start({.to = server.at(), .headers = {}, .body = {}, .answer_id = {}},
                          [](http1::call_result const&) {});
        timer cancellation(loop);
        cancellation.start_once(ms(1), [&] {
            client->cancel(call);
            loop.stop();
        });
        run_loop();
    }
    endless_server const server(start, "b", ms(5));
    bool ended = false;
    client->start({.to = server.at(), .headers = {}, .body = {}, .answer_id = {}},
                  [&](http1::call_result const&) { ended = true; });
    timer time_limit(loop);
    time_limit.start_once(ms(200), [&] { loop.stop(); });
    loop.run();
    client.reset();
    CHECK(!ended);
}
