#include "libraries/http1/client.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/raw_sockets.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// How an upstream ends its connection after the bytes of its answer.
enum class answer_end
{
    orderly,     ///< After it has read the whole request.
    half_closed, ///< While it still reads the request.
    reset,       ///< With bytes of the request unread.
};

enum class answer_framing
{
    length,
    chunks,
    none
};

/// Larger than what the sockets of both sides hold, so that the rest is still being written.
constexpr std::size_t long_body_bytes = 8'000'000;
/// More than one read of the client.
constexpr std::size_t answer_body_bytes = 300'000;

struct ending_case
{
    char const* name;
    answer_framing framing = answer_framing::none;
    bool is_whole = true;
    answer_end end = answer_end::orderly;
    std::size_t request_bytes = 0;
    http1::call_end expected = http1::call_end::complete;
};

std::string answer_of(ending_case const& each)
{
    std::string const body(answer_body_bytes, 'x');
    std::string answer = "HTTP/1.1 200 OK\r\n";
    switch (each.framing) {
    case answer_framing::length:
        answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        break;
    case answer_framing::chunks:
        // 493e0 is the size in hexadecimal digits.
        answer += "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + body + "\r\n0\r\n\r\n";
        break;
    case answer_framing::none:
        answer += "\r\n" + body;
        break;
    }
    return each.is_whole ? answer : answer.substr(0, answer.size() - 1'000);
}

void read_at_least(int connection, std::size_t wanted)
{
    std::array<char, 65'536> buffer{};
    for (std::size_t received = 0; received < wanted;) {
        ssize_t const size = recv(connection, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return;
        received += static_cast<std::size_t>(size);
    }
}

/// Serves one connection on a thread of its own.
class ending_upstream
{
public:
    explicit ending_upstream(ending_case const& served)
        : served_(served), listener_(open_loopback_listener()), thread_([this] { serve(); })
    {}
    ~ending_upstream()
    {
        shutdown(listener_.descriptor, SHUT_RDWR);
        thread_.join();
        close(listener_.descriptor);
    }
    ending_upstream(ending_upstream const&) = delete;
    ending_upstream& operator=(ending_upstream const&) = delete;

    address const& at() const { return listener_.at; }

private:
    void serve() const
    {
        int const connection = accept(listener_.descriptor, nullptr, nullptr);
        bool const reads_all = served_.end == answer_end::orderly;
        read_at_least(connection, reads_all ? served_.request_bytes : 1);
        send_all(connection, answer_of(served_));
        if (served_.end == answer_end::reset) {
            linger const reset_at_close{.l_onoff = 1, .l_linger = 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset_at_close, sizeof reset_at_close);
        }
        else {
            shutdown(connection, SHUT_WR);
            read_at_least(connection, SIZE_MAX);
        }
        close(connection);
    }

    ending_case served_;
    loopback_listener listener_;
    std::thread thread_;
};

constexpr http1::call_end whole = http1::call_end::complete;
constexpr http1::call_end broken = http1::call_end::broken;

constexpr ending_case cases[] = {
    {"no length, orderly", answer_framing::none, true, answer_end::orderly, 0, whole},
    {"no length, orderly, long request", answer_framing::none, true, answer_end::orderly,
     long_body_bytes, whole},
    {"no length, half-closed", answer_framing::none, true, answer_end::half_closed, long_body_bytes,
     whole},
    {"no length, reset", answer_framing::none, false, answer_end::reset, 0, broken},
    {"no length, reset, long request", answer_framing::none, false, answer_end::reset,
     long_body_bytes, broken},
    {"length, orderly", answer_framing::length, true, answer_end::orderly, 0, whole},
    {"length, reset, long request", answer_framing::length, false, answer_end::reset,
     long_body_bytes, broken},
    {"length, cut, half-closed", answer_framing::length, false, answer_end::half_closed,
     long_body_bytes, broken},
    {"length, whole, half-closed", answer_framing::length, true, answer_end::half_closed,
     long_body_bytes, whole},
    {"chunks, orderly", answer_framing::chunks, true, answer_end::orderly, 0, whole},
    {"chunks, reset, long request", answer_framing::chunks, false, answer_end::reset,
     long_body_bytes, broken},
    {"chunks, cut, half-closed", answer_framing::chunks, false, answer_end::half_closed,
     long_body_bytes, broken},
};

} // namespace

TEST_GROUP(answer_end)
{
    event_loop loop;
    system_clock_source clock;

    http1::call_result call_and_wait(ending_case const& each)
    {
        ending_upstream const upstream(each);
        http1::client client(loop, clock, http1::client_limits{});
        std::optional<http1::call_result> reported_result;
        client.start({.to = upstream.at(),
                      .method = "POST",
                      .headers = {},
                      .body = std::string(each.request_bytes, 'r'),
                      .answer_id = {},
                      // The end arrives between this read and the write that follows it.
                      .on_any_head = [](auto const&) { std::this_thread::sleep_for(ms(50)); }},
                     [&](http1::call_result result) {
                         reported_result = std::move(result);
                         loop.stop();
                     });
        timer time_limit(loop);
        time_limit.start_once(std::chrono::seconds(5), [&] { loop.stop(); });
        loop.run();
        CHECK_TEXT(reported_result.has_value(), each.name);
        return *reported_result;
    }
};

// Guards against a part of an answer without a length that is delivered as the whole answer, when
// its connection was reset while the request was still being written.
TEST(answer_end, answer_is_whole_only_by_its_framing_and_an_orderly_end)
{
    constexpr int runs = 3;
    for (ending_case const& each : cases) {
        for (int run = 0; run < runs; ++run)
            LONGS_EQUAL_TEXT(static_cast<int>(each.expected),
                             static_cast<int>(call_and_wait(each).end), each.name);
    }
}
