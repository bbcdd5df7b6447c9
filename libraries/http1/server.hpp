/// HTTP/1.1 server that runs the requests of one connection side by side.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/error.hpp"
#include "libraries/http1/message_reader.hpp"
#include "libraries/net/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace burdockstep::http1 {

/// What callers may send, and how long they may take.
struct server_limits
{
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    duration request_stall_timeout =
        std::chrono::seconds(3); ///< From a head's first byte to its end.
    duration idle_timeout = std::chrono::seconds(15);
    /// Pipelined requests of one connection that may run at a time.
    std::size_t max_pipelined = 32;
};

/// A whole request.
struct server_request
{
    message_head head;
    std::string body;
};

/// A whole answer. Framing headers are added when it is written.
struct server_answer
{
    int status = 200;
    http_headers headers;
    std::string body;
};

class server_connection;

/// One request that waits for its answer. It outlives its connection.
class exchange
{
public:
    exchange(server_connection* connection, server_request request)
        : connection_(connection), request_(std::move(request))
    {}

    server_request const& request() const { return request_; }
    /// Hands over the answer; it is written once all earlier ones of the connection are. Only the
    /// first call counts.
    void reply(server_answer answer);
    /// Closes the caller's connection without an answer to this request.
    void abort();
    /// Calls `handler` when the caller's connection ends before the answer is handed over.
    void on_disconnect(std::function<void()> handler) { disconnect_handler_ = std::move(handler); }
    bool is_disconnected() const { return connection_ == nullptr; }

private:
    friend class server_connection;

    server_connection* connection_; ///< Empty once the connection has ended.
    server_request request_;
    std::optional<server_answer> answer_;
    std::function<void()> disconnect_handler_;
};

/// Listens on one address and hands over requests.
class server
{
public:
    using request_handler = std::function<void(std::shared_ptr<exchange>)>;

    server(event_loop& loop, clock_source const& clock, server_limits limits);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Binds and listens. Fails with `invalid_input` when the address can't be bound.
    result<address> try_listen(address const& at, request_handler handler);
    /// Limits for the connections and requests that follow.
    void set_limits(server_limits limits);
    /// From now on answers close their connection where nothing waits behind them.
    void close_after_answers();
    /// Takes no further connections and closes those that have nothing under way.
    void stop_accepting();
    std::size_t open_connections() const;
    /// Connections accepted since the start.
    std::uint64_t accepted() const;

private:
    friend class server_connection;
    struct state;
    std::shared_ptr<state> state_;
};

/// The usual reason phrase of a status.
std::string_view reason_phrase(int status);

} // namespace burdockstep::http1
