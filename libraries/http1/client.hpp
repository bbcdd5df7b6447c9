/// HTTP/1.1 client with kept connections, for upstreams and the platform.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/strong_type.hpp"
#include "libraries/http1/message_reader.hpp"
#include "libraries/net/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace burdockstep::http1 {

/// Number of a call within one client.
using call_number = strong_type<std::uint64_t, struct call_number_tag>;

/// How a call ended.
enum class call_end
{
    complete,      ///< The whole answer has arrived.
    not_connected, ///< No connection was made: no byte was sent.
    broken         ///< The connection ended, or what came back is no whole answer.
};

/// What became of a call.
struct call_result
{
    call_end end = call_end::broken;
    address to;
    message_head head; ///< Of a complete answer.
    std::string body;
    bool on_reused_connection = false;
    bool connection_was_reset = false;
    /// Time that connecting took: about a round trip. Zero on a kept connection.
    duration connect_time{};
};

/// One request with a whole body.
struct call_options
{
    address to;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers; ///< Without framing headers.
    std::string body;
    /// Name and value of the header by which the answer names its request; empty: any answer is
    /// the call's own. An answer with another value belongs to somebody else and is skipped.
    http_header answer_id;
    /// Kept connections that were idle for longer aren't used.
    duration max_idle_time = std::chrono::hours(1);
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Without any byte of the answer for so long the call is broken; zero: no limit.
    duration answer_timeout{};
};

/// Limits of a client.
struct client_limits
{
    std::size_t max_head_bytes = std::size_t{32} * 1024;
    std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;
    /// Kept connections for one address.
    std::size_t max_idle_connections = 32;
    /// A kept connection is closed this much before the other side would close it.
    duration keep_alive_margin = std::chrono::milliseconds(700);
    /// Idle time after which connections are closed where the other side names no limit.
    duration idle_timeout = std::chrono::seconds(8);
    /// Bytes that nobody acknowledges for so long end their connection.
    duration unacknowledged_timeout = std::chrono::milliseconds(1'500);
};

/// Numbers for operators.
struct client_counters
{
    std::uint64_t connections_opened = 0;
    std::uint64_t answers_skipped = 0; ///< They belonged to other requests.
};

/// Starts calls on one loop. One request at a time uses a connection.
class client
{
public:
    using result_handler = std::function<void(call_result)>;

    client(event_loop& loop, clock_source const& clock, client_limits limits);
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Starts a call. The handler runs later, from the loop, unless the call is cancelled.
    call_number start(call_options options, result_handler handler);
    /// Ends a call and its connection. A call that has ended is left alone.
    void cancel(call_number call);
    /// Closes the idle connections to an address, and doesn't keep those that are in use.
    void discard_connections(address const& to);

    client_counters const& counters() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace burdockstep::http1
