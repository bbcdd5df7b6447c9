/// HTTP/1.1 client on libcurl's multi interface: streamed answers with back-pressure and
/// cancellation.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/http1/answer_limit.hpp"
#include "libraries/net/event_loop.hpp"
#include "libraries/net/http_types.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace burdockstep {

/// How a call ended.
enum class call_end
{
    complete,      ///< The whole answer arrived, as shown by its length or its last chunk.
    not_connected, ///< No connection was made; no byte of the request was sent.
    timed_out,     ///< The deadline passed, or no byte arrived for `stall_timeout`.
    broken         ///< The connection failed, or the answer was truncated or malformed.
};

/// The request and the options of one call.
struct call_options
{
    address to;
    std::string method = "GET";
    std::string path; ///< Path and query.
    http_headers headers;
    http1::message_body body;
    duration deadline = std::chrono::seconds(10);
    duration connect_timeout = std::chrono::seconds(1);
    /// Ends the call as timed out if no byte arrives for this long; zero disables the check.
    duration stall_timeout{};
    /// Opens a new connection for this call. On a pooled connection that turns out to be dead,
    /// libcurl repeats the request on a new one, which may run it twice; it never repeats a
    /// request on a fresh connection.
    bool fresh_connection = false;
    /// The call is broken if its answer's body exceeds this size.
    std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
    /// The body counts towards `max_collected_bytes`.
    bool collects_body = false;
    /// Local IP address to connect from; empty for any.
    std::string local_ip;
};

/// Receives the events of one call. Unless the call is cancelled, `on_done` is called exactly once
/// and last.
class call_listener
{
public:
    virtual ~call_listener() = default;
    /// Called with the head of the final (not 1xx) answer.
    virtual void on_head(http_head const& head) = 0;
    /// Called with body bytes. Returning false pauses the call; `resume` delivers them again.
    virtual bool on_body(std::string_view bytes) = 0;
    virtual void on_done(call_end end) = 0;
};

/// Identifies a call within its client.
using call_number = std::uint64_t;

/// Limits of an `http_client`.
struct http_client_limits
{
    /// Calls beyond these connections wait, until their deadline, for one of them.
    std::size_t max_connections = 1024;
    /// Maximum size of all head and trailer lines of a call, those of interim answers included.
    std::size_t max_head_bytes = std::size_t{64} * 1024;
    /// A call is broken if its body comes in more parts than this and they are smaller than the
    /// size below on average: each chunk takes time, however small it is.
    std::size_t max_small_parts = 4'096;
    std::size_t min_mean_part_bytes = 16;
    /// Maximum number of bytes of a body's chunks that aren't content: sizes and extensions.
    std::size_t max_framing_bytes = std::size_t{1} * 1024 * 1024;
    /// Bodies that are collected at the same time may take this much together: a call whose body
    /// finds no room is broken. One is always collected.
    std::size_t max_collected_bytes = std::numeric_limits<std::size_t>::max();
};

/// Runs HTTP calls on an event loop.
class http_client
{
public:
    explicit http_client(event_loop& loop, http_client_limits limits = {});
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts a call. The listener must outlive the call or cancel it.
    call_number start(call_options const& options, call_listener& listener);
    /// Aborts a call and closes its connection without notifying the listener. Does nothing if the
    /// call has ended.
    void cancel(call_number call);
    /// Resumes a call that `on_body` paused.
    void resume(call_number call);

    /// Makes later calls to this address use new connections only. Called when a connection stopped
    /// responding without an error: its cause may affect the other pooled connections too.
    void abandon_pooled_connections(address const& to);
    /// Number of calls that were broken because of a limit on answers.
    std::uint64_t broken_by(http1::answer_limit limit) const;

    /// Result of `fetch`: how the call ended, and the answer with its body.
    struct fetch_result
    {
        call_end end = call_end::broken;
        http_head head;
        std::string body;
    };

    /// Runs a call and collects its answer. A body over `max_body_bytes` makes the call `broken`.
    void fetch(call_options const& options, std::size_t max_body_bytes,
               std::function<void(fetch_result)> handler);

    /// Public for the libcurl callbacks; defined in the source file.
    struct implementation;

private:
    std::unique_ptr<implementation> implementation_;
};

} // namespace burdockstep
