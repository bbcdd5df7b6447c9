#include "libraries/http1/server.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/raw_sockets.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::string_view small_request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Reads until an answer with the body "ran" has arrived; returns false if the connection ends.
bool receive_answer(int connection)
{
    std::string received;
    std::array<char, 4096> buffer{};
    while (!received.ends_with("ran")) {
        ssize_t const size = read(connection, buffer.data(), buffer.size());
        if (size <= 0)
            return false;
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return true;
}

void answer_ran(http1::exchange& each)
{
    each.reply({.status = 200, .headers = {}, .body = "ran"});
}

} // namespace

TEST_GROUP(http1_server)
{
    event_loop loop;
    system_clock_source clock;
    std::unique_ptr<http1::server> server = std::make_unique<http1::server>(
        loop, clock, http1::server_limits{.max_head_bytes = 1'024, .max_body_bytes = 64});
    std::vector<std::shared_ptr<http1::exchange>> received_exchanges;
    timer limits_change{loop};
    address at;

    /// Starts listening. Each request is appended to `received_exchanges` and passed to `handler`.
    void listen(std::function<void(http1::exchange&)> const& handler)
    {
        auto const listen_result = server->try_listen(
            loopback_any_port(), [this, handler](std::shared_ptr<http1::exchange> const& each) {
                received_exchanges.push_back(each);
                handler(*each);
            });
        CHECK(static_cast<bool>(listen_result));
        at = listen_result.value();
    }

    std::string send_and_run_loop(std::string const& bytes)
    {
        std::string answer;
        bool done = false;
        std::thread caller([&] {
            answer = send_and_read_until_close(at, bytes);
            done = true;
        });
        timer poll(loop);
        poll.start_periodic(ms(5), [&] {
            if (done)
                loop.stop();
        });
        loop.run();
        caller.join();
        return answer;
    }

    /// Runs the loop until the thread has ended.
    void run_loop_while(std::function<void()> const& caller_action)
    {
        std::atomic<bool> done = false;
        std::thread caller([&] {
            caller_action();
            done = true;
        });
        timer poll(loop);
        poll.start_periodic(ms(5), [&] {
            if (done)
                loop.stop();
        });
        loop.run();
        caller.join();
    }

    /// Closed connections that this server ended for this reason.
    std::uint64_t ended(http1::connection_end end) const
    {
        return server->counters().ends[static_cast<std::size_t>(end)];
    }

    void set_idle_timeout(duration idle_timeout)
    {
        server->set_limits({.idle_timeout = idle_timeout});
    }

    /// Listens, answers all requests and sets other limits shortly after the first answer.
    void listen_and_change_limits(http1::server_limits const& new_limits)
    {
        listen([this, new_limits](http1::exchange& each) {
            answer_ran(each);
            if (received_exchanges.size() == 1)
                limits_change.start_once(ms(20),
                                         [this, new_limits] { server->set_limits(new_limits); });
        });
    }

    void teardown() override
    {
        received_exchanges.clear();
        server.reset();
    }
};

TEST(http1_server, pipelined_requests_run_concurrently_and_are_answered_in_order)
{
    listen([this](http1::exchange&) {
        if (received_exchanges.size() < 3)
            return;
        received_exchanges[2]->reply({.status = 200, .headers = {}, .body = "third"});
        received_exchanges[0]->reply({.status = 200, .headers = {}, .body = "first"});
        received_exchanges[1]->reply({.status = 200, .headers = {}, .body = "second"});
    });
    std::string const answers =
        send_and_run_loop("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                          "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    auto const first = answers.find("first");
    auto const second = answers.find("second");
    auto const third = answers.find("third");
    CHECK(first < second && second < third && third != std::string::npos);
    CHECK(answers.find("still open") == std::string::npos);
}

TEST(http1_server, answer_counts_as_unsent_until_a_slow_caller_of_a_closing_connection_has_it)
{
    constexpr std::size_t body_bytes = std::size_t{32} * 1024 * 1024;
    listen([](http1::exchange& each) {
        each.reply({.status = 200, .headers = {}, .body = std::string(body_bytes, 'x')});
    });
    server->close_after_answers();
    int const connection = connect_and_send(at, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    timer poll(loop);
    poll.start_periodic(ms(5), [&] {
        if (!received_exchanges.empty() && server->open_connections() == 0)
            loop.stop();
    });
    loop.run();
    CHECK(server->unsent_bytes() > 0);

    std::string answer;
    std::thread caller([&] { answer = read_until_close(connection); });
    poll.start_periodic(ms(5), [&] {
        if (server->unsent_bytes() == 0)
            loop.stop();
    });
    loop.run();
    // The operating system sends what it has taken over, although the loop no longer runs.
    caller.join();
    // Lets the server notice that the caller has closed.
    run_loop_while([] { std::this_thread::sleep_for(ms(50)); });
    CHECK(answer.size() > body_bytes);
    CHECK(answer.find("still open") == std::string::npos);
}

TEST(http1_server, connection_closes_only_after_all_read_requests_are_answered)
{
    listen([this](http1::exchange&) {
        if (received_exchanges.size() < 2)
            return;
        server->close_after_answers();
        received_exchanges[0]->reply({.status = 200, .headers = {}, .body = "first"});
        received_exchanges[1]->reply({.status = 200, .headers = {}, .body = "second"});
    });
    std::string const answers =
        send_and_run_loop("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    auto const close = answers.find("Connection: close");
    CHECK(answers.find("first") < close);
    CHECK(close < answers.find("second"));
    CHECK(answers.find("second") != std::string::npos);
}

TEST(http1_server, ambiguous_or_oversized_requests_get_an_error_status_and_the_connection_closes)
{
    struct refused_case
    {
        std::string bytes;
        std::string status;
    };
    std::vector<refused_case> const cases{
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
         "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
         "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc", "400"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", "400"},
        {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", "400"},
        {"no request\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2'000, 'x') + "\r\n\r\n", "431"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n", "413"}};
    listen(
        [](http1::exchange& each) { each.reply({.status = 200, .headers = {}, .body = "ran"}); });
    for (refused_case const& each : cases) {
        std::string const answer = send_and_run_loop(each.bytes);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 " + each.status), each.bytes.c_str());
        CHECK_TEXT(answer.find("still open") == std::string::npos, each.bytes.c_str());
    }
    LONGS_EQUAL(0, received_exchanges.size());
}

TEST(http1_server, bodies_with_a_length_or_chunks_arrive_complete)
{
    listen([](http1::exchange& each) {
        each.reply(
            {.status = 200, .headers = {}, .body = "<" + std::string(each.request().body) + ">"});
    });
    std::string const answers = send_and_run_loop(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    CHECK(answers.find("<abc>") != std::string::npos);
    CHECK(answers.find("<def>") != std::string::npos);
}

TEST(http1_server, caller_that_disconnects_while_it_waits_is_noticed)
{
    bool disconnected = false;
    listen([&disconnected](http1::exchange& each) {
        each.on_disconnect([&disconnected](http1::connection_end) { disconnected = true; });
    });
    // Never answered: the caller closes the connection after its receive timeout.
    send_and_run_loop("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    timer poll(loop);
    poll.start_once(ms(50), [this] { loop.stop(); });
    loop.run();
    CHECK(disconnected);
    CHECK(received_exchanges.front()->is_disconnected());
}

TEST(http1_server, requests_beyond_the_pipelining_limit_are_not_run)
{
    server.reset();
    server = std::make_unique<http1::server>(loop, clock, http1::server_limits{.max_pipelined = 2});
    listen([this](http1::exchange&) {
        if (received_exchanges.size() < 2)
            return;
        for (auto const& each : received_exchanges)
            each->reply({.status = 200, .headers = {}, .body = "x"});
    });
    std::string requests;
    for (int i = 0; i < 5; ++i)
        requests += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::string const answers = send_and_run_loop(requests);
    LONGS_EQUAL(2, received_exchanges.size());
    CHECK(answers.find("still open") == std::string::npos);
}

TEST(http1_server, request_that_has_arrived_when_the_idle_timeout_expires_is_answered)
{
    set_idle_timeout(ms(100));
    std::atomic<bool> loop_is_late = false;
    listen([&](http1::exchange& each) {
        if (each.request().head.target == "/slow") {
            loop_is_late = true;
            std::this_thread::sleep_for(ms(700));
        }
        answer_ran(each);
    });
    bool second_answered = false;
    run_loop_while([&] {
        int const connection = connect_and_send(at, std::string(small_request));
        receive_answer(connection);
        int const other = connect_and_send(at, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
        while (!loop_is_late)
            std::this_thread::yield();
        send_all(connection, small_request);
        second_answered = receive_answer(connection);
        close(connection);
        close(other);
    });
    CHECK(second_answered);
}

TEST(http1_server, request_whose_rest_has_arrived_when_the_stall_timeout_expires_is_answered)
{
    server->set_limits({.request_stall_timeout = ms(100)});
    std::atomic<bool> loop_is_late = false;
    listen([&](http1::exchange& each) {
        if (each.request().head.target == "/slow") {
            loop_is_late = true;
            std::this_thread::sleep_for(ms(700));
        }
        answer_ran(each);
    });
    bool answered = false;
    run_loop_while([&] {
        int const connection = connect_and_send(at, "GET / HTTP/1.1\r\n");
        int const other = connect_and_send(at, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
        while (!loop_is_late)
            std::this_thread::yield();
        send_all(connection, "Host: a\r\n\r\n");
        answered = receive_answer(connection);
        close(connection);
        close(other);
    });
    CHECK(answered);
}

TEST(http1_server, request_that_crosses_the_close_of_an_idle_connection_is_not_read)
{
    set_idle_timeout(ms(100));
    listen(answer_ran);
    bool connection_was_reset = false;
    run_loop_while([&] {
        int const connection = connect_and_send(at, std::string(small_request));
        receive_answer(connection);
        char byte = 0;
        recv(connection, &byte, sizeof byte, MSG_PEEK); // Until the server closes.
        send_all(connection, small_request);
        std::this_thread::sleep_for(ms(50));
        // A reset tells the caller that nobody has read its request.
        connection_was_reset = !send_all(connection, small_request);
        close(connection);
    });
    CHECK(connection_was_reset);
    LONGS_EQUAL(1, ended(http1::connection_end::idle));
    LONGS_EQUAL(
        0,
        server->counters().reads_after_end[static_cast<std::size_t>(http1::connection_end::idle)]);
}

TEST(http1_server, raised_idle_timeout_holds_for_connections_that_are_open)
{
    set_idle_timeout(ms(100));
    listen_and_change_limits({.idle_timeout = std::chrono::seconds(10)});
    bool second_answered = false;
    run_loop_while([&] {
        int const connection = connect_and_send(at, std::string(small_request));
        receive_answer(connection);
        std::this_thread::sleep_for(ms(1'200));
        send_all(connection, small_request);
        second_answered = receive_answer(connection);
        close(connection);
    });
    CHECK(second_answered);
}

TEST(http1_server, lowered_idle_timeout_does_not_end_connections_last_used_under_the_longer_one)
{
    set_idle_timeout(std::chrono::seconds(10));
    listen_and_change_limits({.idle_timeout = ms(100)});
    bool second_answered = false;
    std::string rest;
    run_loop_while([&] {
        int const connection = connect_and_send(at, std::string(small_request));
        receive_answer(connection);
        std::this_thread::sleep_for(ms(1'200));
        send_all(connection, small_request);
        second_answered = receive_answer(connection);
        // From this answer on the lower one holds.
        rest = read_until_close(connection);
    });
    CHECK(second_answered);
    STRCMP_EQUAL("", rest.c_str());
}

TEST(http1_server, raised_head_limit_holds_for_connections_that_are_open)
{
    listen_and_change_limits({.max_head_bytes = 8'192});
    bool second_answered = false;
    run_loop_while([&] {
        int const connection = connect_and_send(at, std::string(small_request));
        receive_answer(connection);
        std::this_thread::sleep_for(ms(100));
        send_all(connection,
                 "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2'000, 'x') + "\r\n\r\n");
        second_answered = receive_answer(connection);
        close(connection);
    });
    CHECK(second_answered);
}
