#include "libraries/http1/client.hpp"
#include "libraries/http1/server.hpp"

#include "tests/fakes/endless_server.hpp"
#include "tests/fakes/harness.hpp"
#include "tests/fakes/raw_sockets.hpp"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::size_t kib = 1'024;
constexpr std::size_t budget_bytes = 256 * kib;
constexpr std::size_t body_that_fits = 100 * kib;
constexpr std::size_t body_that_does_not_fit = 300 * kib;
constexpr unsigned samples_per_second = 1'000 / http1::memory_budget::sample_interval_ms;

std::string post(std::size_t body_bytes, std::size_t sent_bytes)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n" + std::string(sent_bytes, 'b');
}

std::string post(std::size_t body_bytes)
{
    return post(body_bytes, body_bytes);
}

} // namespace

TEST_GROUP(http1_memory)
{
    event_loop loop;
    system_clock_source clock;
    std::shared_ptr<http1::memory_budget> budget =
        std::make_shared<http1::memory_budget>(http1::memory_budget_options{
            .max_bytes = budget_bytes, .max_connections = 3, .max_connections_to_accept = 2});
    std::unique_ptr<http1::server> server =
        std::make_unique<http1::server>(loop, clock, http1::server_limits{}, budget);
    std::unique_ptr<http1::client> client =
        std::make_unique<http1::client>(loop, clock, http1::client_limits{}, budget);
    std::vector<std::shared_ptr<http1::exchange>> received_exchanges;
    address at;

    void setup() override
    {
        auto const listen_result = server->try_listen(
            loopback_any_port(), [this](std::shared_ptr<http1::exchange> const& each) {
                received_exchanges.push_back(each);
            });
        at = listen_result.value();
    }

    void teardown() override
    {
        received_exchanges.clear();
        server.reset();
        client.reset();
        run_loop_for(ms(20));
    }

    void run_loop_for(duration time)
    {
        timer limit(loop);
        limit.start_once(time, [&] { loop.stop(); });
        loop.run();
    }

    /// Runs the loop until the condition holds, at most five seconds.
    void run_loop_until(std::function<bool()> const& condition)
    {
        timer poll(loop);
        timer limit(loop);
        poll.start_periodic(ms(5), [&] {
            if (condition())
                loop.stop();
        });
        limit.start_once(std::chrono::seconds(5), [&] { loop.stop(); });
        loop.run();
        CHECK(condition());
    }

    void pass_one_second_without_progress()
    {
        for (unsigned i = 0; i <= samples_per_second; ++i)
            budget->sample();
    }

    /// Sends bytes on a connection of their own and returns what is received until it is closed.
    std::string send_and_run_loop(std::string const& bytes)
    {
        std::string answer;
        std::atomic<bool> done = false;
        std::thread caller([&] {
            answer = send_and_read_until_close(at, bytes);
            done = true;
        });
        run_loop_until([&] { return done.load(); });
        caller.join();
        return answer;
    }

    http1::call_result call_and_wait(http1::call_options options)
    {
        std::optional<http1::call_result> reported_result;
        client->start(std::move(options),
                      [&](http1::call_result result) { reported_result = std::move(result); });
        run_loop_until([&] { return reported_result.has_value(); });
        return *reported_result;
    }
};

TEST(http1_memory, request_without_room_is_refused_and_not_passed_on)
{
    std::string const answer = send_and_run_loop(post(body_that_does_not_fit));
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(received_exchanges.empty());
    run_loop_until([&] { return budget->used_bytes() == 0; });
}

TEST(http1_memory, body_is_charged_until_the_last_reader_is_done)
{
    int const connection = connect_and_send(at, post(body_that_fits));
    run_loop_until([&] { return !received_exchanges.empty(); });
    http1::message_body kept_body = received_exchanges.front()->request().body;
    LONGS_EQUAL(body_that_fits, kept_body.size());
    close(connection);
    received_exchanges.clear();
    run_loop_until([&] { return server->open_connections() == 0 && budget->connections() == 0; });
    LONGS_EQUAL(body_that_fits, budget->used_bytes());
    kept_body = {};
    LONGS_EQUAL(0, budget->used_bytes());
}

TEST(http1_memory, request_that_has_stopped_arriving_is_refused_for_one_that_needs_its_room)
{
    int const stopped = connect_and_send(at, post(body_that_fits + 1, body_that_fits));
    run_loop_until([&] { return budget->used_bytes() > body_that_fits; });
    pass_one_second_without_progress();
    int const other = connect_and_send(at, post(2 * body_that_fits));
    run_loop_until([&] { return !received_exchanges.empty(); });
    CHECK(read_until_close(stopped).starts_with("HTTP/1.1 503 "));
    LONGS_EQUAL(1, budget->counters().given_up);
    close(other);
}

TEST(http1_memory, answer_that_is_not_read_is_given_up_for_a_request_that_needs_its_room)
{
    constexpr std::size_t more_bytes_than_buffers_hold = std::size_t{32} * 1024 * 1024;
    int const reader = connect_and_send(at, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    run_loop_until([&] { return !received_exchanges.empty(); });
    received_exchanges.front()->reply(
        {.status = 200, .headers = {}, .body = std::string(more_bytes_than_buffers_hold, 'a')});
    received_exchanges.clear();
    run_loop_for(ms(100));
    CHECK(budget->used_bytes() > more_bytes_than_buffers_hold);
    pass_one_second_without_progress();
    int const other = connect_and_send(at, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    run_loop_until([&] { return budget->counters().given_up == 1; });
    run_loop_until([&] { return budget->used_bytes() < more_bytes_than_buffers_hold; });
    close(reader);
    close(other);
}

TEST(http1_memory, connection_beyond_the_limit_is_closed_unread)
{
    int const first = connect_and_send(at, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    int const second = connect_and_send(at, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    run_loop_until([&] { return received_exchanges.size() == 2; });
    STRCMP_EQUAL("", send_and_run_loop("").c_str());
    LONGS_EQUAL(1, budget->counters().refused_connections);
    close(first);
    close(second);
}

TEST(http1_memory, connection_whose_caller_does_not_close_after_the_last_answer_makes_room)
{
    std::string const request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    int const first = connect_and_send(at, request);
    int const second = connect_and_send(at, request);
    run_loop_until([&] { return received_exchanges.size() == 2; });
    for (auto const& each : received_exchanges)
        each->reply({.status = 200, .headers = {}, .body = "ran"});
    received_exchanges.clear();
    pass_one_second_without_progress();
    int const third = connect_and_send(at, request);
    run_loop_until([&] { return received_exchanges.size() == 1; });
    for (int const each : {first, second, third})
        close(each);
}

TEST(http1_memory, answer_without_room_ends_its_call_and_is_freed)
{
    endless_server const upstream("HTTP/1.1 200 OK\r\n\r\n", std::string(4 * kib, 'b'));
    auto const result = call_and_wait({.to = upstream.at(), .headers = {}, .answer_id = {}});
    CHECK(result.end == http1::call_end::answer_dropped);
    LONGS_EQUAL(200, result.head.status);
    LONGS_EQUAL(1, client->counters().answers_dropped_for_memory);
    CHECK(budget->counters().refused_bytes > 0);
}

TEST(http1_memory, call_without_room_for_a_connection_ends_unsent)
{
    int const first = connect_and_send(at, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    int const second = connect_and_send(at, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    run_loop_until([&] { return received_exchanges.size() == 2; });
    client->start({.to = at, .headers = {}, .answer_id = {}}, [](auto const&) {});
    auto const result = call_and_wait({.to = at, .headers = {}, .answer_id = {}});
    CHECK(result.end == http1::call_end::no_room);
    bool reported = false;
    client->cancel(client->start({.to = at, .headers = {}, .answer_id = {}},
                                 [&](http1::call_result const&) { reported = true; }));
    run_loop_for(ms(20));
    CHECK(!reported);
    close(first);
    close(second);
}

TEST(http1_memory, bodies_under_way_to_one_address_are_bounded_but_one_is_always_sent)
{
    client->set_max_sent_bytes_per_address(100);
    auto const call_with_body = [&](std::size_t bytes) {
        return http1::call_options{.to = at,
                                   .method = "POST",
                                   .headers = {},
                                   .body = std::string(bytes, 'b'),
                                   .answer_id = {}};
    };
    http1::call_number const first = client->start(call_with_body(200), [](auto const&) {});
    run_loop_until([&] { return received_exchanges.size() == 1; });
    CHECK(call_and_wait(call_with_body(1)).end == http1::call_end::no_room);
    LONGS_EQUAL(1, client->counters().calls_refused_for_bodies);
    client->cancel(first);
    run_loop_until([&] { return budget->connections() == 0; });
    client->start(call_with_body(100), [](auto const&) {});
    run_loop_until([&] { return received_exchanges.size() == 2; });
}

TEST(http1_memory, caller_that_reads_no_answers_gets_no_further_ones)
{
    constexpr std::size_t request_count = 100'000;
    std::size_t answered = 0;
    server = std::make_unique<http1::server>(loop, clock, http1::server_limits{}, budget);
    auto const listen_result = server->try_listen(
        loopback_any_port(), [&answered](std::shared_ptr<http1::exchange> const& each) {
            ++answered;
            each->reply({.status = 200, .headers = {}, .body = std::string(kib, 'a')});
        });
    std::string requests;
    for (std::size_t i = 0; i < request_count; ++i)
        requests += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::atomic<bool> has_sent_all = false;
    std::thread caller([&, to = listen_result.value()] {
        int const connection = connect_and_send(to, requests);
        has_sent_all = true;
        close(connection);
    });
    std::size_t most_used_bytes = 0;
    run_loop_until([&] {
        most_used_bytes = std::max(most_used_bytes, budget->used_bytes());
        return has_sent_all.load();
    });
    caller.join();
    CHECK(answered < request_count);
    CHECK(most_used_bytes <= budget_bytes);
}
