#include "libraries/http1/message_reader.hpp"

#include "tests/fakes/harness.hpp"

#include <fmt/format.h>

#include <vector>

using namespace burdockstep;

namespace {

constexpr std::size_t max_head_bytes = 8'192;

class message_recorder final : public http1::message_listener
{
public:
    void on_head(http1::message_head head) override { heads.push_back(std::move(head)); }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_message_end() override { ++ended; }

    std::vector<http1::message_head> heads;
    std::string body;
    int ended = 0;
};

/// True if `bytes` and the end of the stream make one whole answer.
bool is_whole_answer(std::string_view bytes)
{
    message_recorder recorder;
    http1::message_reader reader(http1::message_kind::answers, max_head_bytes, recorder);
    bool const readable = reader.read(bytes) && reader.read_end();
    return readable && recorder.ended == 1;
}

} // namespace

TEST_GROUP(message_reader){};

TEST(message_reader, answer_with_a_length_is_whole_only_when_all_of_it_was_read)
{
    for (std::string const answer :
         {"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 12\r\nX-Last: a\r\n\r\ntwelve bytes",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: mine\r\n\r\n3;e=1\r\nabc\r\n"
          "10\r\n0123456789abcdef\r\n0\r\nX-Sum: 1\r\n\r\n",
          "HTTP/1.1 204\r\nX-Id: mine\r\n\r\n"}) {
        for (std::size_t size = 0; size < answer.size(); ++size)
            CHECK_TEXT(!is_whole_answer(answer.substr(0, size)), answer.substr(0, size).c_str());
        CHECK_TEXT(is_whole_answer(answer), answer.c_str());
    }
}

TEST(message_reader, answer_without_a_length_is_whole_only_after_its_complete_head)
{
    std::string const head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nX-Last: a\r\n\r\n";
    std::string const answer = head + "to the end";
    for (std::size_t size = 0; size <= answer.size(); ++size)
        CHECK_TEXT(is_whole_answer(answer.substr(0, size)) == (size >= head.size()),
                   answer.substr(0, size).c_str());
}

TEST(message_reader, answer_with_a_status_line_inside_its_head_is_malformed)
{
    std::string const rest = "\r\nContent-Length: 0\r\n\r\n";
    for (char const* start :
         {"HTTP/1.1 503 HTTP/1.1 200 OK", "HTTP/1.1 503 Service UnavailHTTP/1.1 200 OK",
          "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.HTTP/1.1 200 OK",
          "HTTP/1.1 503 Service Unavailable\r\nX-A: HTTP/HTTP/1.0 200 OK\r\nX-B: 1"})
        CHECK_TEXT(!is_whole_answer(start + rest), start);
    for (char const* start : {"HTTP/1.1 200 HTTP", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy",
                              "HTTP/1.1 200 OK\r\nX-A: HTTP/1.1 "})
        CHECK_TEXT(is_whole_answer(start + rest), start);
}

TEST(message_reader, trailers_are_not_taken_for_headers_of_the_next_message)
{
    message_recorder recorder;
    http1::message_reader reader(http1::message_kind::requests, max_head_bytes, recorder);
    CHECK(reader.read("POST / HTTP/1.1\r\nHost: first\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "0\r\nX-A: 1\r\nX-Sum: 2\r\n\r\n"
                      "GET / HTTP/1.1\r\nHost: second\r\n\r\n"));
    LONGS_EQUAL(2, recorder.heads.size());
    LONGS_EQUAL(1, recorder.heads.back().headers.size());
    STRCMP_EQUAL("second", std::string(recorder.heads.back().headers.find("host")).c_str());
}

TEST(message_reader, answer_with_an_unknown_transfer_encoding_is_malformed)
{
    for (char const* encoding : {"chun", "gzip", "chunked, gzip", "identity", "gzip, chunked",
                                 "gzip\r\nTransfer-Encoding: chunked"})
        CHECK_TEXT(!is_whole_answer(fmt::format(
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: {}\r\n\r\n0\r\n\r\n", encoding)),
                   encoding);
    CHECK(is_whole_answer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n1\r\na\r\n0\r\n\r\n"));
}
