/// One TCP connection on the event loop.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/http1/message_body.hpp"
#include "libraries/net/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace burdockstep::http1 {

/// How a TCP stream ended.
enum class stream_end
{
    closed, ///< The peer closed its side, and no operation on the connection had failed before.
    reset   ///< The connection was reset, timed out or could not be made.
};

/// Receives the events of a stream. Any of these functions may destroy the stream.
class stream_listener
{
public:
    virtual ~stream_listener() = default;

    virtual void on_connected() {}
    virtual void on_bytes(std::string_view bytes) = 0;
    virtual void on_stream_end(stream_end end) = 0;
    /// Called when the operating system has accepted all written bytes, unless it did so at once.
    virtual void on_drained() {}
    /// True if the peer has to act next, as far as the listener knows.
    virtual bool awaits_peer() const { return false; }
    /// Called when the peer is slow and its connection is needed for others: it must be closed.
    virtual void on_give_up() = 0;
};

/// What a peer may do after the last bytes for it have been written.
struct graceful_close_limits
{
    std::size_t max_discarded_bytes = 0; ///< Bytes that still arrive.
    duration max_stall{};                ///< Time without a byte that the peer takes.
};

/// A connected or connecting TCP socket. Destroying it closes the socket immediately, unless
/// `close_gracefully` was called.
class stream_socket
{
public:
    /// The connection and what it holds are charged to the budget.
    stream_socket(event_loop& loop, stream_listener& listener, memory_budget& budget);
    ~stream_socket();
    stream_socket(stream_socket const&) = delete;
    stream_socket& operator=(stream_socket const&) = delete;

    /// Starts connecting. Calls `on_connected` or `on_stream_end`, the latter possibly before this
    /// returns. The connection ends if sent bytes stay unacknowledged for
    /// `unacknowledged_timeout`.
    void connect(address const& to, duration unacknowledged_timeout);
    /// Accepts a connection from a listening handle. Returns false if there is none to accept.
    bool accept(uv_stream_t* listening_handle, duration unacknowledged_timeout);
    /// Takes what has arrived, without waiting for the loop to come round.
    void read_arrived();
    /// Takes no further bytes. For a connection that is about to be closed.
    void stop_reading();
    /// Writes the head and then the body, which is shared and not copied.
    void write(std::string head, message_body body = {});
    /// Returns an empty charge for bytes that are held for the peer.
    memory_charge make_charge() const;
    /// Number of written bytes that the operating system hasn't accepted yet.
    std::size_t unsent_bytes() const;
    /// Number of `write` calls with bytes that the operating system hasn't accepted yet.
    std::size_t unsent_writes() const;
    /// Address of the peer; empty if it isn't known.
    address peer_address() const;
    /// True if bytes have arrived, or the peer has closed its side, and the listener doesn't know
    /// yet.
    bool has_unread_input() const;
    /// Closes the connection at once and reads nothing more: bytes that still arrive are answered
    /// with a reset, which tells the peer that they were not read. The listener is not called any
    /// more.
    void close();
    /// Sends the remaining bytes and closes this side of the connection. The listener is not called
    /// any more; bytes that still arrive are discarded and their number passed to the handler. The
    /// connection is closed when the peer closes its side or a limit is reached.
    void close_gracefully(graceful_close_limits limits,
                          std::function<void(std::size_t)> on_discarded);

private:
    struct state;
    struct write_request;
    static void start_reading(state& self);
    static void report_end(state* self, stream_end end_reason);

    state* state_; ///< Freed in the close callback of its libuv handle; null after `close`.
};

} // namespace burdockstep::http1
