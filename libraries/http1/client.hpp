/// HTTP/1.1 client with persistent connections, for upstreams and the platform.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/strong_type.hpp"
#include "libraries/http1/answer_limit.hpp"
#include "libraries/http1/message_body.hpp"
#include "libraries/http1/message_reader.hpp"
#include "libraries/net/event_loop.hpp"

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace burdockstep::http1 {

/// Identifies a call within its client.
using call_number = strong_type<std::uint64_t, struct call_number_tag>;

/// How a call ended.
enum class call_end
{
    complete,      ///< The complete answer has arrived.
    not_connected, ///< No connection was made; no byte was sent.
    broken,        ///< Connection lost, or answer timed out, malformed, truncated or too large.
    no_room,       ///< No room for a further connection, or for the body beside those under way to
                   ///< the same address; no byte was sent.
    answer_dropped ///< This process has no room for the answer, of which a part had arrived.
};

/// Result of a call.
struct call_result
{
    call_end end = call_end::broken;
    answer_limit exceeded = answer_limit::none; ///< Why the call is broken, if a limit is why.
    address to;
    message_head head; ///< Set if the call is complete.
    std::string body;
    std::shared_ptr<memory_charge> charge; ///< For the body; null if it is empty.
    bool on_reused_connection = false;
    bool connection_was_reset = false;
    /// Duration of the TCP connect, about one round trip. Zero on a reused connection.
    duration connect_time{};
};

/// The request and the options of one call.
struct call_options
{
    address to;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers; ///< Without content-length and transfer-encoding.
    message_body body;
    /// Header field that the answer must carry to match this request. An answer without it or with
    /// another value belongs to no request or to another one, and is skipped. An empty name accepts
    /// any answer; with a name, the value must not be empty.
    http_header answer_id;
    /// Never reuses a connection, on which a late answer to an earlier call might arrive. For calls
    /// whose answers carry no id.
    bool on_new_connection = false;
    /// Idle connections that were unused for longer than this are not reused for the call.
    duration max_idle_time = std::chrono::hours(1);
    duration connect_timeout = std::chrono::milliseconds(500);
    /// The call is broken if no byte of an answer arrives for this long; zero disables the check.
    duration answer_timeout{};
    /// The call is broken if its answer isn't complete this long after its start; zero disables the
    /// check. Unlike `answer_timeout`, it also ends a call whose server sends bytes without end.
    duration call_timeout{};
    /// Receives the head of each final answer that arrives on the call's connection until the next
    /// call starts there, even if the answer belongs to another request or is never completed.
    std::function<void(message_head const&)> on_any_head;
};

/// Limits of an HTTP/1.1 client.
struct client_limits
{
    std::size_t max_head_bytes = std::size_t{32} * 1024;
    /// Maximum number of fields of a head, and of a trailer.
    std::size_t max_head_fields = 512;
    std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;
    /// Maximum number of bytes that arrive during one call, including framing and skipped answers.
    std::size_t max_call_bytes = std::size_t{64} * 1024 * 1024;
    /// Maximum number of bytes of one call that belong to no body: heads, also of interim and
    /// skipped answers, chunk framing and trailers. They take most time to read.
    std::size_t max_framing_bytes = std::size_t{1} * 1024 * 1024;
    /// Maximum size of the incomplete bodies of all calls together. Beyond it, the call with the
    /// largest one is broken.
    std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
    /// Maximum size of the request bodies under way to one address. A larger one is sent alone.
    std::size_t max_sent_bytes_per_address = std::numeric_limits<std::size_t>::max();
    /// A connection that has carried this many calls with an answer id is not reused. It keeps
    /// their ids, so that it never carries two calls with the same one.
    std::size_t max_ids_per_connection = 1'000;
    /// Maximum number of idle connections per address.
    std::size_t max_idle_connections = 32;
    /// An idle connection is closed this long before the server's announced keep-alive timeout.
    duration keep_alive_margin = std::chrono::milliseconds(700);
    /// Maximum idle time of a connection; a shorter keep-alive timeout of the server applies.
    duration idle_timeout = std::chrono::seconds(8);
    /// A connection ends if sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
    duration unacknowledged_timeout = std::chrono::milliseconds(1'500);
};

/// Counters since the start of the client.
struct client_counters
{
    std::uint64_t connections_opened = 0;
    /// Answers skipped as belonging to other requests: their `answer_id` header field is missing or
    /// doesn't match the call. Interim answers (status 1xx) don't count.
    std::uint64_t answers_skipped = 0;
    /// Calls that were ended because their bodies together passed `max_buffered_bytes` or found no
    /// room in the memory budget.
    std::uint64_t answers_dropped_for_memory = 0;
    /// Calls that weren't started because of `max_sent_bytes_per_address`.
    std::uint64_t calls_refused_for_bodies = 0;
    /// Calls that were broken because their answers exceeded a limit, by the limit.
    std::array<std::uint64_t, answer_limit_count> answers_over_limit{};
    std::uint64_t connections_reused = 0;
    /// New connections because none to the address was idle.
    std::uint64_t opened_none_idle = 0;
    /// New connections because the idle ones had expired, were idle for too long for the call, or
    /// might get a late answer that can't be told from the call's.
    std::uint64_t opened_idle_too_long = 0;
};

/// Runs HTTP calls on an event loop. A connection carries one request at a time.
class client
{
public:
    using result_handler = std::function<void(call_result)>;

    /// Without a budget, what the calls hold is bounded by the limits only.
    client(event_loop& loop, clock_source const& clock, client_limits limits,
           std::shared_ptr<memory_budget> budget = nullptr);
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Starts a call. The handler is called later from the loop, unless the call is cancelled
    /// before it ends.
    call_number start(call_options options, result_handler handler);
    /// Aborts a call and closes its connection. Does nothing if the call has ended.
    void cancel(call_number call);
    /// Closes the idle connections to an address, and those in use once their call ends.
    void discard_connections(address const& to);
    /// Replaces the limit of that name.
    void set_max_sent_bytes_per_address(std::size_t bytes);

    client_counters const& counters() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace burdockstep::http1
