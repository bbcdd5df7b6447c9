#include "libraries/net/framed_stream.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/net/http_server.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/raw_sockets.hpp"

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// An event loop that is never destroyed, because connections may still refer to it.
event_loop& shared_loop()
{
    static event_loop& loop = *new event_loop;
    return loop;
}

address listening_address(result<address> const& listening)
{
    CHECK(static_cast<bool>(listening));
    return listening.value();
}

/// Runs the event loop until the condition holds, for about five seconds at most.
void run_until(std::function<bool()> const& condition)
{
    event_loop& loop = shared_loop();
    timer poll(loop);
    int polls_left = 1'000;
    poll.start_periodic(ms(5), [&] {
        if (condition() || --polls_left == 0)
            loop.stop();
    });
    loop.run();
    CHECK_TEXT(polls_left > 0, "condition not reached within 5 s");
}

/// Records the events of a call.
class recording_listener final : public call_listener
{
public:
    void on_head(http_head const& head) override { head_ = head; }
    bool on_body(std::string_view bytes) override
    {
        if (refuses_body_)
            return false;
        body_.append(bytes);
        return true;
    }
    void on_done(call_end end) override { end_ = end; }

    std::optional<http_head> head_;
    std::string body_;
    std::optional<call_end> end_;
    bool refuses_body_ = false;
};

} // namespace

TEST_GROUP(http)
{
    http_client client{shared_loop()};
    recording_listener listener;

    call_end call_and_wait(address const& to)
    {
        client.start({.to = to, .path = "/", .headers = {}, .body = {}}, listener);
        run_until([&] { return listener.end_.has_value(); });
        return *listener.end_;
    }

    call_end call_raw_server(std::string const& answer)
    {
        raw_server const server(answer);
        return call_and_wait(server.at());
    }
};

TEST(http, complete_answers_are_reported_as_complete)
{
    CHECK(call_raw_server("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc") == call_end::complete);
    STRCMP_EQUAL("abc", listener.body_.c_str());
}

TEST(http, chunked_answer_is_complete_at_its_last_chunk)
{
    CHECK(call_raw_server(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n") ==
          call_end::complete);
}

TEST(http, truncated_or_malformed_answers_are_broken)
{
    for (char const* answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\n\r\nbody without a length", "HTTP/1.1 200 OK\r\nContent-", ""}) {
        listener = {};
        CHECK_TEXT(call_raw_server(answer) == call_end::broken, answer);
    }
}

TEST(http, call_to_a_closed_port_is_not_connected)
{
    address const closed_port{.ip = 0x7f000001, .port = 1};
    CHECK(call_and_wait(closed_port) == call_end::not_connected);
}

TEST(http, aborted_answer_is_broken_for_the_caller)
{
    http_server server(shared_loop(), {});
    address const at = listening_address(
        server.try_listen(loopback_any_port(), [](std::shared_ptr<http_exchange> const& each) {
            each->start({.status = 200, .headers = {}, .content_length = {}, .delimited = true});
            each->write("half");
            each->abort();
        }));
    CHECK(call_and_wait(at) == call_end::broken);
}

TEST(http, writer_is_paused_while_the_reader_takes_no_body_bytes)
{
    http_server server(shared_loop(), {});
    std::size_t written = 0;
    std::shared_ptr<http_exchange> open_exchange;
    address const at = listening_address(
        server.try_listen(loopback_any_port(), [&](std::shared_ptr<http_exchange> each) {
            open_exchange = std::move(each);
            open_exchange->start(
                {.status = 200, .headers = {}, .content_length = {}, .delimited = true});
            std::string const chunk(32'768, 'x');
            open_exchange->on_writable([&written, &open_exchange, chunk] {
                while (open_exchange->write(chunk))
                    written += chunk.size();
                written += chunk.size();
            });
            open_exchange->write(chunk);
        }));
    listener.refuses_body_ = true;
    call_number const number =
        client.start({.to = at, .path = "/", .headers = {}, .body = {}}, listener);
    int poll_count = 0;
    run_until([&] { return ++poll_count > 60; });
    std::size_t const written_before_pause = written;
    poll_count = 0;
    run_until([&] { return ++poll_count > 20; });
    // Writing stops once the system's socket buffers and the server's write buffer are full.
    LONGS_EQUAL(written_before_pause, written);
    CHECK(written_before_pause < std::size_t{32} * 1024 * 1024);
    client.cancel(number);
    run_until([&] { return open_exchange->is_disconnected(); });
}

TEST(http, server_notices_that_a_waiting_caller_has_disconnected)
{
    http_server server(shared_loop(), {});
    bool disconnected = false;
    std::shared_ptr<http_exchange> open_exchange;
    address const at = listening_address(
        server.try_listen(loopback_any_port(), [&](std::shared_ptr<http_exchange> each) {
            open_exchange = std::move(each);
            open_exchange->on_disconnect([&disconnected] { disconnected = true; });
        }));
    call_number const number =
        client.start({.to = at, .path = "/", .headers = {}, .body = {}}, listener);
    run_until([&] { return open_exchange != nullptr; });
    client.cancel(number);
    run_until([&] { return disconnected; });
}

TEST(http, answer_that_is_aborted_before_its_head_ends_the_connection_without_a_success)
{
    http_server server(shared_loop(), {});
    address const at = listening_address(server.try_listen(
        loopback_any_port(), [](std::shared_ptr<http_exchange> const& each) { each->abort(); }));
    std::string answer;
    std::atomic<bool> done = false;
    std::thread caller([&] {
        answer = send_and_read_until_close(at, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        done = true;
    });
    run_until([&] { return done.load(); });
    caller.join();
    CHECK_TEXT(answer.find(" 200 ") == std::string::npos, answer.c_str());
    CHECK_TEXT(answer.find("still open") == std::string::npos, answer.c_str());
}

TEST(http, requests_with_ambiguous_framing_get_400_or_a_close)
{
    http_server server(shared_loop(), {});
    unsigned served_requests = 0;
    address const at = listening_address(
        server.try_listen(loopback_any_port(), [&](std::shared_ptr<http_exchange> const& each) {
            ++served_requests;
            each->reply(200, {}, "served");
        }));
    char const* const requests[] = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n"),
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc",
    };
    for (char const* request : requests) {
        served_requests = 0;
        std::string answer;
        bool answered = false;
        std::thread raw_caller([&] {
            answer = send_and_read_until_close(at, request);
            answered = true;
        });
        run_until([&] { return answered; });
        raw_caller.join();
        CHECK_TEXT(served_requests == 0, request);
        CHECK_TEXT(answer.find("<still open>") == std::string::npos, request);
        CHECK_TEXT(answer.empty() || answer.starts_with("HTTP/1.1 400"), answer.c_str());
    }
}

TEST(http, every_pipelined_request_is_served)
{
    http_server server(shared_loop(), {});
    std::string bodies;
    address const at = listening_address(
        server.try_listen(loopback_any_port(), [&](std::shared_ptr<http_exchange> const& each) {
            bodies += std::string(each->request().body.bytes()) + ";";
            each->reply(200, {}, "served");
        }));
    std::string answer;
    bool answered = false;
    std::thread raw_caller([&] {
        answer = send_and_read_until_close(
            at, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\ncd"
                "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        answered = true;
    });
    run_until([&] { return answered; });
    raw_caller.join();
    STRCMP_EQUAL("ab;cd;;", bodies.c_str());
}

TEST(http, streamed_answers_of_pipelined_requests_keep_the_order_of_the_requests)
{
    http_server server(shared_loop(), {});
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    address const at = listening_address(
        server.try_listen(loopback_any_port(), [&](std::shared_ptr<http_exchange> each) {
            exchanges.push_back(std::move(each));
        }));
    std::string answer;
    std::atomic<bool> answered = false;
    std::thread raw_caller([&] {
        answer = send_and_read_until_close(at, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
                                               "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
        answered = true;
    });
    run_until([&] { return exchanges.size() == 2; });
    http_head const head{.status = 200, .headers = {}, .content_length = {}, .delimited = true};
    exchanges[1]->start(head);
    exchanges[1]->write("second");
    exchanges[1]->abort();
    exchanges[0]->start(head);
    exchanges[0]->write("fir");
    exchanges[0]->write("st");
    exchanges[0]->finish();
    run_until([&] { return answered.load(); });
    raw_caller.join();
    auto const end_of_first = answer.find("\r\n0\r\n\r\n");
    CHECK(end_of_first != std::string::npos);
    CHECK(answer.find("fir") < end_of_first);
    CHECK(answer.find("HTTP/1.1 502") > end_of_first);
    CHECK(answer.find("second") == std::string::npos);
}

TEST(http, framed_question_gets_an_answer_unless_the_server_refuses)
{
    framed_server server(shared_loop(), {});
    address at;
    for (std::uint16_t port = 40'001; at.port == 0 && port < 40'100; ++port) {
        auto const listening = server.try_listen(
            {.ip = 0x7f000001, .port = port},
            [](address const&, std::string_view question) -> std::optional<std::string> {
                if (question == "refuse")
                    return std::nullopt;
                return "answer to " + std::string(question);
            });
        if (listening)
            at = listening.value();
    }
    auto const answer_to = [&](framed_client& asking, std::string const& question) {
        std::optional<framed_answer> received_answer;
        asking.ask(loopback_any_port(), at, question,
                   [&](framed_answer const& answer) { received_answer = answer; });
        run_until([&] { return received_answer.has_value(); });
        return *received_answer;
    };
    // One answer is read, however little answers may take together.
    framed_client questioner(shared_loop(), {.max_held_answer_bytes = 1});
    for (std::string const& question :
         {std::string("x"), std::string("refuse"), std::string(1'000, 'y')}) {
        framed_answer const answer = answer_to(questioner, question);
        CHECK((question == "x") == answer.content.has_value());
        CHECK(!answer.exceeds_limit);
    }
    framed_client brief_questioner(shared_loop(), {.max_answer_bytes = 4});
    framed_answer const too_long = answer_to(brief_questioner, "x");
    CHECK(!too_long.content.has_value());
    CHECK(too_long.exceeds_limit);
}

TEST(http, exchange_is_in_flight_until_a_slow_caller_has_the_end_of_its_answer)
{
    constexpr std::size_t part_bytes = std::size_t{16} * 1024 * 1024;
    http_server server(shared_loop(), {});
    auto const listening =
        server.try_listen(loopback_any_port(), [&](std::shared_ptr<http_exchange> const& each) {
            each->start({.status = 200,
                         .headers = {},
                         .content_length = 2 * part_bytes,
                         .delimited = true});
            each->write(std::string(part_bytes, 'a'));
            each->write(std::string(part_bytes, 'b'));
            each->finish();
        });
    int const connection = connect_and_send(
        listening_address(listening), "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string answer;
    std::string buffer(std::size_t{1} * 1024 * 1024, '\0');
    run_until([&] {
        ssize_t const size = recv(connection, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0)
            answer.append(buffer.data(), static_cast<std::size_t>(size));
        return answer.size() > part_bytes;
    });
    LONGS_EQUAL(1, server.exchanges_in_flight());

    std::thread caller([&] { answer += read_until_close(connection); });
    run_until([&] { return server.exchanges_in_flight() == 0; });
    // The operating system sends what it has taken over, although the loop no longer runs.
    caller.join();
    CHECK(answer.size() > 2 * part_bytes);
}
