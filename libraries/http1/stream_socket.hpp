/// One TCP connection on the loop.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/net/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace burdockstep::http1 {

/// How a stream ended.
enum class stream_end
{
    closed, ///< The other side closed in order.
    reset   ///< Reset, timed out by the system, or never connected.
};

/// Takes what happens on a stream. The stream may be destroyed from within any of these.
class stream_listener
{
public:
    virtual ~stream_listener() = default;

    virtual void on_connected() {}
    virtual void on_bytes(std::string_view bytes) = 0;
    virtual void on_stream_end(stream_end end) = 0;
};

/// A connected or connecting TCP socket. Destroying it closes the socket at once, unless
/// `close_gracefully` was called.
class stream_socket
{
public:
    stream_socket(event_loop& loop, stream_listener& listener);
    ~stream_socket();
    stream_socket(stream_socket const&) = delete;
    stream_socket& operator=(stream_socket const&) = delete;

    /// Starts to connect; `on_connected` or `on_stream_end` follows, the latter perhaps from
    /// within. `unacknowledged_timeout` ends a connection whose bytes nobody acknowledges.
    void connect(address const& to, duration unacknowledged_timeout);
    /// Accepts from a listening handle. Returns false when there is nothing to accept.
    bool accept(uv_stream_t* listening_handle, duration unacknowledged_timeout);
    void write(std::string bytes);
    /// Bytes that were handed over and that the system hasn't taken yet.
    std::size_t unsent_bytes() const;
    /// Sends what was written, then closes in order. Nothing more is reported.
    void close_gracefully();

private:
    struct state;
    static void start_reading(state& self);
    static void report_end(state* self, stream_end end_reason);

    state* state_; ///< Freed by the loop's close callback.
};

} // namespace burdockstep::http1
