/// HTTP/1.1 server that delivers complete requests and sends streamed answers.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/error.hpp"
#include "libraries/http1/server.hpp"
#include "libraries/net/event_loop.hpp"
#include "libraries/net/http_types.hpp"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace burdockstep {

/// One request and its answer. It stays valid after the caller has disconnected; writes are then
/// discarded.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual http_request const& request() const = 0;
    /// Remote address of the connection.
    virtual address peer() const = 0;
    /// Identifies the connection within the server.
    virtual std::uint64_t connection() const = 0;
    /// True once the caller's connection has ended or the request is over.
    virtual bool is_disconnected() const = 0;

    /// Sets a handler that is called once if the caller disconnects before the answer is complete.
    virtual void on_disconnect(std::function<void()> handler) = 0;
    /// Sets a handler that is called when a writer that was told to wait may go on.
    virtual void on_writable(std::function<void()> handler) = 0;

    /// Starts a streamed answer with this head.
    virtual void start(http_head const& head) = 0;
    /// Queues body bytes. Returns false if the writer should wait for `on_writable`.
    virtual bool write(std::string_view bytes) = 0;
    /// Completes the answer.
    virtual void finish() = 0;
    /// Ends the answer so that the caller can tell it is truncated; one that has not begun becomes
    /// a 502.
    virtual void abort() = 0;
    /// Sends a complete answer.
    virtual void reply(int status, http_headers const& headers, std::string_view body) = 0;
};

/// Limits of an `http_server`.
struct http_server_limits
{
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    duration request_read_timeout = std::chrono::seconds(10);
    std::size_t max_connections = 4096;
    /// A new connection beyond the maximum takes the place of the oldest one without a complete
    /// request.
    bool replaces_oldest_connection = false;
    /// Bytes that are held for all callers together: requests, and answers that they haven't read.
    /// Slow callers are given up first; then requests are refused with 503 and Retry-After.
    std::size_t max_held_bytes = std::numeric_limits<std::size_t>::max();
};

/// Listens on one address and passes each request to a handler.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    http_server(event_loop& loop, http_server_limits limits);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Binds the address and listens. Fails with `invalid_input` if it can't be bound.
    result<address> try_listen(address const& at, handler on_request);
    /// Starts a graceful shutdown: each connection closes after its current answer, so that callers
    /// reconnect elsewhere.
    void close_connections_after_answers();
    /// Number of exchanges whose answer isn't complete; at least one while the operating system
    /// hasn't taken over all bytes of the answers.
    std::size_t exchanges_in_flight() const;
    std::size_t connections() const;
    /// What is held for callers, and how often there was no room for more.
    http1::memory_budget const& budget() const { return *budget_; }

private:
    system_clock_source clock_;
    std::shared_ptr<http1::memory_budget> budget_;
    timer sample_timer_;
    http1::server server_;
};

} // namespace burdockstep
