/// HTTP/1.1 server on h2o: whole requests in, streamed answers out.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/error.hpp"
#include "libraries/net/event_loop.hpp"
#include "libraries/net/http_types.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace burdockstep {

/// One request and its answer. It stays valid after the caller has gone; writes are then dropped.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual http_request const& request() const = 0;
    /// Address of the connection's other end.
    virtual address peer() const = 0;
    /// Number of the connection, unique within the server.
    virtual std::uint64_t connection() const = 0;
    /// True when the caller's connection has ended.
    virtual bool is_disconnected() const = 0;

    /// Called once if the caller goes away before the answer is complete.
    virtual void on_disconnect(std::function<void()> handler) = 0;
    /// Called each time that all written bytes have left.
    virtual void on_writable(std::function<void()> handler) = 0;

    /// Sends the head of a streamed answer.
    virtual void start(http_head const& head) = 0;
    /// Queues body bytes. Returns false when the writer should wait for `on_writable`.
    virtual bool write(std::string_view bytes) = 0;
    /// Ends the answer as complete.
    virtual void finish() = 0;
    /// Ends the answer so that the caller sees it cut.
    virtual void abort() = 0;
    /// Sends a whole answer.
    virtual void reply(int status, http_headers const& headers, std::string_view body) = 0;
};

/// Limits of a server.
struct http_server_limits
{
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    duration request_read_timeout = std::chrono::seconds(10);
    std::size_t max_connections = 4096;
};

/// Accepts connections on one address and hands each request to a handler.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    http_server(event_loop& loop, http_server_limits limits);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Binds and listens. Fails with `invalid_input` when the address can't be bound.
    result<address> try_listen(address const& at, handler on_request);
    /// Asks callers to open new connections elsewhere: answers say so from now on.
    void close_connections_after_answers();
    /// Exchanges whose answer isn't complete.
    std::size_t exchanges_in_flight() const;
    std::size_t connections() const;

    /// Shared with the h2o callbacks; defined in the source file.
    struct implementation;

private:
    std::unique_ptr<implementation> implementation_;
};

} // namespace burdockstep
