#include "libraries/net/framed_stream.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/net/http_server.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/raw_sockets.hpp"

#include <memory>
#include <string>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// A loop that is never destroyed: the HTTP library's connections refer to it.
event_loop& shared_loop()
{
    static event_loop& loop = *new event_loop;
    return loop;
}

address bound(result<address> const& listening)
{
    CHECK(static_cast<bool>(listening));
    return listening.value();
}

/// Runs the loop until the condition holds, for five seconds at most.
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
    CHECK_TEXT(polls_left > 0, "condition not reached");
}

/// Collects what a call reports.
class recording_listener final : public call_listener
{
public:
    void on_head(http_head const& head) override { head_ = head; }
    bool on_body(std::string_view bytes) override
    {
        if (refuse_)
            return false;
        body_.append(bytes);
        return true;
    }
    void on_done(call_end end) override { end_ = end; }

    std::optional<http_head> head_;
    std::string body_;
    std::optional<call_end> end_;
    bool refuse_ = false;
};

} // namespace

TEST_GROUP(http)
{
    http_client client{shared_loop()};
    recording_listener listener;

    call_end call(address const& to)
    {
        client.start({.to = to, .path = "/", .headers = {}, .body = {}}, listener);
        run_until([&] { return listener.end_.has_value(); });
        return *listener.end_;
    }

    call_end call_raw(std::string const& answer)
    {
        raw_server const server(answer);
        return call(server.at());
    }
};

TEST(http, whole_answers_are_complete)
{
    CHECK(call_raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc") == call_end::complete);
    STRCMP_EQUAL("abc", listener.body_.c_str());
}

TEST(http, chunked_answer_is_complete_at_its_last_chunk)
{
    CHECK(call_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n") ==
          call_end::complete);
}

TEST(http, cut_answers_are_broken)
{
    for (char const* answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n\r\nbody without a length", "HTTP/1.1 200 OK\r\nContent-", ""}) {
        listener = {};
        CHECK_TEXT(call_raw(answer) == call_end::broken, answer);
    }
}

TEST(http, closed_port_is_not_connected)
{
    address const nobody{.ip = 0x7f000001, .port = 1};
    CHECK(call(nobody) == call_end::not_connected);
}

TEST(http, server_aborts_visibly)
{
    http_server server(shared_loop(), {});
    address const at =
        bound(server.try_listen(loopback(), [](std::shared_ptr<http_exchange> const& each) {
            each->start({.status = 200, .headers = {}, .content_length = {}, .delimited = true});
            each->write("half");
            each->abort();
        }));
    CHECK(call(at) == call_end::broken);
}

TEST(http, writer_is_held_back_by_a_slow_reader)
{
    http_server server(shared_loop(), {});
    std::size_t written = 0;
    std::shared_ptr<http_exchange> open;
    address const at =
        bound(server.try_listen(loopback(), [&](std::shared_ptr<http_exchange> each) {
            open = std::move(each);
            open->start({.status = 200, .headers = {}, .content_length = {}, .delimited = true});
            std::string const chunk(32'768, 'x');
            open->on_writable([&written, &open, chunk] {
                while (open->write(chunk))
                    written += chunk.size();
                written += chunk.size();
            });
            open->write(chunk);
        }));
    listener.refuse_ = true;
    call_number const number =
        client.start({.to = at, .path = "/", .headers = {}, .body = {}}, listener);
    int rounds = 0;
    run_until([&] { return ++rounds > 60; });
    std::size_t const held = written;
    rounds = 0;
    run_until([&] { return ++rounds > 20; });
    // Only the system's socket buffers and one high-water mark fill, and then nothing more.
    LONGS_EQUAL(held, written);
    CHECK(held < std::size_t{32} * 1024 * 1024);
    client.cancel(number);
    run_until([&] { return open->is_gone(); });
}

TEST(http, server_learns_that_a_waiting_caller_has_gone)
{
    http_server server(shared_loop(), {});
    bool gone = false;
    std::shared_ptr<http_exchange> open;
    address const at =
        bound(server.try_listen(loopback(), [&](std::shared_ptr<http_exchange> each) {
            open = std::move(each);
            open->on_gone([&gone] { gone = true; });
        }));
    call_number const number =
        client.start({.to = at, .path = "/", .headers = {}, .body = {}}, listener);
    run_until([&] { return open != nullptr; });
    client.cancel(number);
    run_until([&] { return gone; });
}

TEST(http, ambiguous_requests_are_refused_and_the_connection_closed)
{
    http_server server(shared_loop(), {});
    unsigned served = 0;
    address const at =
        bound(server.try_listen(loopback(), [&](std::shared_ptr<http_exchange> const& each) {
            ++served;
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
        served = 0;
        std::string answer;
        bool answered = false;
        std::thread peer([&] {
            answer = exchange_raw(at, request);
            answered = true;
        });
        run_until([&] { return answered; });
        peer.join();
        CHECK_TEXT(served == 0, request);
        CHECK_TEXT(answer.find("<still open>") == std::string::npos, request);
        CHECK_TEXT(answer.empty() || answer.starts_with("HTTP/1.1 400"), answer.c_str());
    }
}

TEST(http, pipelined_requests_are_each_served)
{
    http_server server(shared_loop(), {});
    std::string bodies;
    address const at =
        bound(server.try_listen(loopback(), [&](std::shared_ptr<http_exchange> const& each) {
            bodies += each->request().body + ";";
            each->reply(200, {}, "served");
        }));
    std::string answer;
    bool answered = false;
    std::thread peer([&] {
        answer = exchange_raw(at, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
                                  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\ncd"
                                  "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        answered = true;
    });
    run_until([&] { return answered; });
    peer.join();
    STRCMP_EQUAL("ab;cd;;", bodies.c_str());
}

TEST(http, framed_question_gets_its_answer)
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
    for (std::string const& question :
         {std::string("x"), std::string("refuse"), std::string(1'000, 'y')}) {
        std::optional<std::optional<std::string>> got;
        ask_framed(shared_loop(), loopback(), at, question, {},
                   [&](std::optional<std::string> answer) { got = std::move(answer); });
        run_until([&] { return got.has_value(); });
        CHECK((question == "x") == got->has_value());
    }
}
