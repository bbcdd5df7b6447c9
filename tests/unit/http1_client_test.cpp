#include "libraries/http1/client.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/raw_sockets.hpp"

#include <memory>
#include <optional>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

http1::call_options call_to(address const& at, std::string const& id = "mine")
{
    return {.to = at,
            .headers = {{.name = "x-id", .value = id}},
            .body = {},
            .answer_id = {.name = "x-id", .value = id}};
}

constexpr char const* answer_with_own_id =
    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nabc";
constexpr char const* answer_with_second_id =
    "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 3\r\n\r\nabc";
constexpr char const* answer_with_third_id =
    "HTTP/1.1 200 OK\r\nX-Id: third\r\nContent-Length: 3\r\n\r\nabc";
constexpr char const* answer_with_length_and_chunks =
    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\n\r\n";
constexpr char const* answer_with_another_id =
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong";

} // namespace

TEST_GROUP(http1_client)
{
    event_loop loop;
    system_clock_source clock;
    std::unique_ptr<http1::client> client =
        std::make_unique<http1::client>(loop, clock, http1::client_limits{});

    void teardown() override
    {
        client.reset();
    }

    http1::call_result call_and_wait(http1::call_options options)
    {
        std::optional<http1::call_result> reported_result;
        client->start(std::move(options), [&](http1::call_result result) {
            reported_result = std::move(result);
            loop.stop();
        });
        timer time_limit(loop);
        time_limit.start_once(std::chrono::seconds(5), [&] { loop.stop(); });
        loop.run();
        CHECK_TEXT(reported_result.has_value(), "the call did not end within 5 s");
        return *reported_result;
    }

    http1::call_result call_raw_server(std::string const& answer, raw_server_end end)
    {
        raw_server const server({{answer}}, end);
        return call_and_wait(call_to(server.at()));
    }
};

TEST(http1_client, complete_answers_are_reported_as_complete)
{
    for (char const* answer : {answer_with_own_id,
                               "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: "
                               "mine\r\nContent-Length: 3\r\n\r\nabc"}) {
        auto const result = call_raw_server(answer, raw_server_end::stay_open);
        CHECK_TEXT(result.end == http1::call_end::complete, answer);
        STRCMP_EQUAL("abc", result.body.c_str());
        client = std::make_unique<http1::client>(loop, clock, http1::client_limits{});
    }
}

TEST(http1_client, answer_without_a_length_is_complete_at_an_orderly_close)
{
    auto const result =
        call_raw_server("HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nto the end", raw_server_end::close);
    CHECK(result.end == http1::call_end::complete);
    STRCMP_EQUAL("to the end", result.body.c_str());
}

TEST(http1_client, answer_without_a_length_that_is_reset_is_broken)
{
    auto const result =
        call_raw_server("HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nto the", raw_server_end::reset);
    CHECK(result.end == http1::call_end::broken);
}

TEST(http1_client, truncated_or_malformed_http1_answers_are_broken)
{
    for (char const* answer :
         {"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
          answer_with_length_and_chunks, "HTTP/1.1 200 OK\r\nX-Id: mi", "no answer at all", ""})
        CHECK_TEXT(call_raw_server(answer, raw_server_end::close).end == http1::call_end::broken,
                   answer);
}

TEST(http1_client, answer_with_a_status_below_100_is_broken_at_once)
{
    for (std::string const status : {"000", "000 OK", "0", "20 OK", "099 OK"}) {
        std::string const answer =
            "HTTP/1.1 " + status + "\r\nX-Id: mine\r\nContent-Length: 0\r\n\r\n";
        for (std::string const behind : {"", answer_with_own_id}) {
            auto const result = call_raw_server(answer + behind, raw_server_end::stay_open);
            CHECK_TEXT(result.end == http1::call_end::broken, answer.c_str());
        }
    }
}

TEST(http1_client, call_to_a_closed_port_is_not_connected)
{
    auto const result = call_and_wait(call_to({.ip = 0x7f000001, .port = 1}));
    CHECK(result.end == http1::call_end::not_connected);
}

TEST(http1_client, answer_to_another_request_is_skipped_and_its_connection_not_reused)
{
    raw_server const server(
        {{answer_with_own_id, std::string(answer_with_another_id) + answer_with_second_id},
         {answer_with_third_id}},
        raw_server_end::stay_open);
    CHECK(call_and_wait(call_to(server.at())).end == http1::call_end::complete);
    auto const second = call_and_wait(call_to(server.at(), "second"));
    CHECK(second.on_reused_connection);
    STRCMP_EQUAL("abc", second.body.c_str());
    LONGS_EQUAL(1, client->counters().answers_skipped);
    CHECK(!call_and_wait(call_to(server.at(), "third")).on_reused_connection);
}

TEST(http1_client, connection_is_closed_when_bytes_follow_an_answer)
{
    raw_server const server(
        {{std::string(answer_with_own_id) + answer_with_another_id}, {answer_with_second_id}},
        raw_server_end::stay_open);
    CHECK(call_and_wait(call_to(server.at())).end == http1::call_end::complete);
    auto const second = call_and_wait(call_to(server.at(), "second"));
    CHECK(!second.on_reused_connection);
    STRCMP_EQUAL("abc", second.body.c_str());
}

TEST(http1_client, connection_is_not_reused_after_connection_close_or_an_expired_keep_alive)
{
    for (char const* header : {"Connection: close", "Keep-Alive: timeout=0"}) {
        std::string const answer = std::string("HTTP/1.1 200 OK\r\nX-Id: mine\r\n") + header +
                                   "\r\nContent-Length: 3\r\n\r\nabc";
        raw_server const server({{answer}, {answer_with_second_id}}, raw_server_end::close);
        CHECK(call_and_wait(call_to(server.at())).end == http1::call_end::complete);
        CHECK_TEXT(!call_and_wait(call_to(server.at(), "second")).on_reused_connection, header);
    }
}

TEST(http1_client, connection_idle_beyond_the_limit_of_a_call_is_not_reused)
{
    raw_server const server({{answer_with_own_id}, {answer_with_second_id}}, raw_server_end::close);
    CHECK(call_and_wait(call_to(server.at())).end == http1::call_end::complete);
    auto options = call_to(server.at(), "second");
    options.max_idle_time = duration::zero() - std::chrono::microseconds(1);
    CHECK(!call_and_wait(std::move(options)).on_reused_connection);
}

TEST(http1_client, call_is_broken_when_no_answer_arrives_within_the_timeout)
{
    raw_server const server({{""}}, raw_server_end::stay_open);
    auto options = call_to(server.at());
    options.answer_timeout = ms(50);
    CHECK(call_and_wait(std::move(options)).end == http1::call_end::broken);
    client.reset();
}

TEST(http1_client, heads_of_all_final_answers_on_the_connection_are_reported)
{
    std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string const truncated = "HTTP/1.1 500 Oops\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nab";
    raw_server const server({{interim + answer_with_another_id + truncated}},
                            raw_server_end::close);
    std::vector<int> statuses;
    auto options = call_to(server.at());
    options.on_any_head = [&](http1::message_head const& head) { statuses.push_back(head.status); };
    CHECK(call_and_wait(std::move(options)).end == http1::call_end::broken);
    LONGS_EQUAL(2, statuses.size());
    LONGS_EQUAL(200, statuses.front());
    LONGS_EQUAL(500, statuses.back());
}

TEST(http1_client, answer_that_is_cut_and_closed_is_complete_only_if_nothing_is_missing)
{
    struct answer
    {
        std::string text;
        std::size_t complete_from; ///< Number of bytes from which a close completes the answer.
    };
    std::string const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    std::string const chunked = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    std::string const lengthless_head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nX-Last: a\r\n\r\n";
    std::string const with_length = answer_with_own_id;
    for (answer const& each :
         {answer{.text = with_length, .complete_from = with_length.size()},
          answer{.text = chunked, .complete_from = chunked.size()},
          answer{.text = lengthless_head + "abc", .complete_from = lengthless_head.size()},
          answer{.text = interim + with_length,
          .complete_from = interim.size() + with_length.size()}}) {
        for (std::size_t size = 0; size <= each.text.size(); ++size) {
            std::string const sent = each.text.substr(0, size);
            bool const is_complete =
                call_raw_server(sent, raw_server_end::close).end == http1::call_end::complete;
            CHECK_TEXT(is_complete == (size >= each.complete_from), sent.c_str());
        }
    }
}

TEST(http1_client, connection_is_not_reused_when_the_answer_came_before_all_of_the_request_was_sent)
{
    constexpr std::size_t more_bytes_than_buffers_hold = std::size_t{64} * 1'024 * 1'024;
    raw_server const server({{answer_with_own_id}, {answer_with_second_id}},
                            raw_server_end::stay_open);
    auto options = call_to(server.at());
    options.method = "POST";
    options.body = std::string(more_bytes_than_buffers_hold, 'b');
    CHECK(call_and_wait(std::move(options)).end == http1::call_end::complete);
    CHECK(!call_and_wait(call_to(server.at(), "second")).on_reused_connection);
}
