/// HTTP/1.1 server that runs the pipelined requests of a connection concurrently.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/error.hpp"
#include "libraries/http1/message_body.hpp"
#include "libraries/http1/message_reader.hpp"
#include "libraries/net/event_loop.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace burdockstep::http1 {

/// Limits on the size and duration of what callers send.
struct server_limits
{
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    /// Longest time without a byte while a request is being received.
    duration request_stall_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
    /// Maximum number of requests per connection that are unanswered, or whose answers wait for the
    /// caller to read. When it is reached, the server reads no further request and closes the
    /// connection after the answers.
    std::size_t max_pipelined = 32;
};

/// A complete request.
struct server_request
{
    message_head head;
    message_body body;
    memory_charge head_charge;
};

/// A complete answer. Content-Length and Connection are added when it is written.
struct server_answer
{
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Status and headers of an answer whose body follows in parts. Without a length it is sent in
/// chunks.
struct streamed_answer_head
{
    int status = 200;
    http_headers headers;
    std::optional<std::uint64_t> content_length;
};

/// Why a caller's connection ended.
enum class connection_end
{
    closed_by_caller, ///< The caller closed its side.
    reset,            ///< The caller or the network reset it, or it timed out.
    idle,             ///< It carried no request for longer than the idle timeout.
    answered,         ///< After the last answer, as that answer's Connection header told.
    unreadable,       ///< The caller sent something that is not an acceptable request.
    aborted,          ///< This server ended it.
    given_up          ///< Its caller was slow, and what it held was needed for others.
};

constexpr std::size_t connection_end_count = static_cast<std::size_t>(connection_end::given_up) + 1;
/// The name of a connection's end in logs and metrics, such as "closed-by-caller".
char const* name_of(connection_end end);

/// Totals since the start, for metrics.
struct server_counters
{
    std::uint64_t accepted = 0;                                   ///< Connections accepted.
    std::array<std::uint64_t, connection_end_count> ends{};       ///< Ended connections by reason.
    std::array<std::uint64_t, connection_end_count> unanswered{}; ///< Their unanswered requests.
    /// Reads that returned bytes after this server had ended the connection.
    std::array<std::uint64_t, connection_end_count> reads_after_end{};
};

class server_connection;

/// One request and its pending answer. It may outlive its connection.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(server_connection* connection, std::uint64_t connection_number, server_request request)
        : connection_(connection), connection_number_(connection_number),
          request_(std::move(request))
    {}

    server_request const& request() const { return request_; }
    /// Sets the answer, which is written after those of all earlier requests of the connection.
    /// Calls after the first do nothing.
    void reply(server_answer answer);
    /// Starts an answer whose body is written in parts. Calls after `reply` or a first one do
    /// nothing.
    void start(streamed_answer_head head);
    /// Adds a part of the body. Returns false if the writer should wait for `on_writable`.
    bool write(std::string_view bytes);
    /// Completes a started answer.
    void finish();
    /// Closes the connection so that the caller can tell that a started answer is incomplete. One
    /// that wasn't started becomes a 502.
    void break_off();
    /// Sets a handler that is called when a writer that was told to wait may go on.
    void on_writable(std::function<void()> handler) { writable_handler_ = std::move(handler); }
    /// Closes the caller's connection without an answer to this request.
    void abort();
    /// Sets a handler that is called if the connection ends before `reply`.
    void on_disconnect(std::function<void(connection_end)> handler)
    {
        disconnect_handler_ = std::move(handler);
    }
    bool is_disconnected() const { return connection_ == nullptr; }
    /// Address of the caller; empty once the connection has ended.
    address peer() const;
    /// Identifies the connection within its server.
    std::uint64_t connection_number() const { return connection_number_; }

private:
    friend class server_connection;

    /// An answer whose body is written in parts.
    struct streamed_answer
    {
        streamed_answer_head head;
        std::string unsent; ///< Parts that aren't passed to the socket yet.
        memory_charge unsent_charge;
        bool head_is_written = false;
        bool has_chunks = false; ///< At least one chunk is written.
        bool is_finished = false;
        bool writer_waits = false;
    };

    bool has_complete_answer() const
    {
        return answer_.has_value() || (streamed_ && streamed_->is_finished);
    }

    /// Null once the answer is written or the connection has ended.
    server_connection* connection_;
    std::uint64_t connection_number_;
    server_request request_;
    std::optional<server_answer> answer_;
    memory_charge answer_charge_;
    std::optional<streamed_answer> streamed_;
    std::function<void(connection_end)> disconnect_handler_;
    std::function<void()> writable_handler_;
    bool closes_connection_ = false; ///< As the head of the answer says.
};

/// Listens on one address and passes each request to a handler.
class server
{
public:
    using request_handler = std::function<void(std::shared_ptr<exchange>)>;

    /// Without a budget, what the connections hold is bounded by the limits only.
    server(event_loop& loop, clock_source const& clock, server_limits limits,
           std::shared_ptr<memory_budget> budget = nullptr);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Binds the address and listens. Fails with `invalid_input` if it can't be bound.
    result<address> try_listen(address const& at, request_handler handler);
    /// Sets the limits, also of open connections. A lower idle timeout holds for a connection from
    /// its next answer on: until then its caller may rely on the longer one.
    void set_limits(server_limits const& limits);
    /// Closes each connection after an answer with no further request pending.
    void close_after_answers();
    /// Accepts no further connections. Requests on the open ones are still passed to the handler.
    void stop_accepting();
    std::size_t open_connections() const;
    /// Number of requests that were passed to the handler and aren't answered completely.
    std::size_t unanswered_requests() const;
    /// Bytes of answers that the operating system hasn't taken over yet, including those of
    /// connections that are closing.
    std::size_t unsent_bytes() const;
    server_counters const& counters() const;

private:
    friend class server_connection;
    struct state;
    std::shared_ptr<state> state_;
};

/// Returns the standard reason phrase of a status code.
std::string_view reason_phrase(int status);

} // namespace burdockstep::http1
