#include "libraries/http1/stream_socket.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace burdockstep::http1 {

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

/// The operating system takes no more bytes of a connection while this many wait to be sent. Bytes
/// that have been sent and not acknowledged don't count, so the throughput isn't limited.
constexpr unsigned max_queued_bytes = 16 * 1024;

/// The operating system holds about this many bytes that a peer has sent and that aren't read yet:
/// enough for several MB a second between regions.
constexpr unsigned max_received_bytes = 512 * 1024;
/// The same with a small budget, as what waits isn't in the budget and there may be many peers: the
/// size with which Linux begins, so that it doesn't grow.
constexpr unsigned max_received_bytes_with_little_memory = 64 * 1024;
constexpr std::size_t little_memory_bytes = std::size_t{64} * 1024 * 1024;

/// TCP keep-alive finds a peer that vanished before it closed its side of the connection.
constexpr unsigned keep_alive_probe_delay_s = 5;

/// Read buffer of all streams of the thread. Each read is consumed before the next one.
std::array<char, read_buffer_bytes>& shared_read_buffer()
{
    static thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

/// What a peek at a socket shows.
enum class peeked_input
{
    none,
    bytes,
    end,
    failure
};

peeked_input peek(uv_handle_t const* handle)
{
    uv_os_fd_t descriptor = -1;
    char byte = 0;
    if (uv_fileno(handle, &descriptor) != 0)
        return peeked_input::failure;
    ssize_t const size = recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (size == 0)
        return peeked_input::end;
    if (size > 0)
        return peeked_input::bytes;
    return errno == EAGAIN || errno == EINTR ? peeked_input::none : peeked_input::failure;
}

using write_buffers = std::array<uv_buf_t, 2>;

uv_buf_t buffer_after(std::string_view bytes, std::size_t sent_bytes)
{
    std::string_view const rest = bytes.substr(std::min(sent_bytes, bytes.size()));
    // libuv doesn't change what it writes.
    return uv_buf_init(const_cast<char*>(rest.data()), static_cast<unsigned>(rest.size()));
}

/// The parts of the head and the body that are not sent yet.
write_buffers unsent_buffers(std::string_view head, std::string_view body, std::size_t sent_bytes)
{
    std::size_t const sent_body_bytes = sent_bytes - std::min(sent_bytes, head.size());
    return {buffer_after(head, sent_bytes), buffer_after(body, sent_body_bytes)};
}

bool is_failure(int status)
{
    return status < 0 && status != UV_EAGAIN && status != UV_ECANCELED;
}

void set_tcp_option(uv_tcp_t const& handle, int option, unsigned value)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t const*>(&handle), &descriptor) == 0)
        setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof value);
}

void set_unacknowledged_timeout(uv_tcp_t const& handle, duration limit)
{
    auto const milliseconds =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    set_tcp_option(handle, TCP_USER_TIMEOUT, milliseconds);
}

} // namespace

struct stream_socket::write_request
{
    uv_write_t request{};
    std::string head;
    message_body body;
    memory_charge head_charge; ///< For all but the body, which has its own.
    state* owner = nullptr;    ///< Outlives the request: closing cancels it.
};

struct stream_socket::state final : memory_holder
{
    state(event_loop& owning_loop, stream_listener& new_listener, memory_budget& budget)
        : loop(owning_loop), listener(&new_listener), account(budget.open_account(*this)),
          connection_charge(account), has_little_memory(budget.max_bytes() < little_memory_bytes)
    {
        connection_charge.resize(memory_budget::connection_bytes);
        handle.data = this;
        uv_tcp_init(loop.raw(), &handle);
    }

    ~state() override { account->detach(); }
    state(state const&) = delete;
    state& operator=(state const&) = delete;

    event_loop& loop;
    uv_tcp_t handle{};
    uv_connect_t connect_request{};
    stream_listener* listener = nullptr;
    duration unacknowledged_timeout{};
    uv_shutdown_t shutdown_request{};
    std::function<void(std::size_t)> on_discarded;
    std::size_t discardable_bytes = 0; ///< Closed once more than these arrive.
    std::unique_ptr<timer> graceful_close_timer;
    std::uint64_t moved_bytes_at_check = 0;
    bool closing_gracefully = false;
    bool handle_is_closing = false;
    /// The operating system reports a broken connection to one operation only, and an orderly end
    /// to those after it.
    bool has_failed = false;
    std::uint64_t read_bytes = 0; ///< Without those after `close_gracefully`.
    std::uint64_t written_bytes = 0;
    std::size_t unsent_writes = 0;
    std::shared_ptr<memory_account> account;
    memory_charge connection_charge;
    bool has_little_memory;

    std::uint64_t moved_bytes() const override
    {
        return read_bytes + written_bytes - handle.write_queue_size;
    }

    bool awaits_peer() const override
    {
        return !handle_is_closing &&
               (listener == nullptr || handle.write_queue_size > 0 || listener->awaits_peer());
    }

    void give_up() override
    {
        if (listener == nullptr)
            close();
        else
            listener->on_give_up();
    }

    /// Limits what the operating system holds of what the peer sends.
    void limit_unread_bytes()
    {
        set_tcp_option(handle, TCP_WINDOW_CLAMP, max_received_bytes);
        // A clamp is exceeded when the operating system enlarges the buffer by itself; a buffer of
        // a set size is not. It is set only where memory is short: the size is limited by the
        // machine's settings, and with it what a distant peer can send in a second.
        if (has_little_memory) {
            int buffer_bytes = max_received_bytes_with_little_memory;
            uv_recv_buffer_size(reinterpret_cast<uv_handle_t*>(&handle), &buffer_bytes);
        }
    }

    /// Returns how the stream has ended when a read finds no more bytes.
    stream_end end_after_read(ssize_t read_status)
    {
        // libuv reports a reset that follows received bytes as an end of file, too.
        bool const is_orderly = read_status == UV_EOF && !has_failed &&
                                peek(reinterpret_cast<uv_handle_t*>(&handle)) == peeked_input::end;
        return is_orderly ? stream_end::closed : stream_end::reset;
    }

    void discard(std::size_t bytes)
    {
        if (on_discarded)
            on_discarded(bytes);
        if (bytes > discardable_bytes)
            close();
        else
            discardable_bytes -= bytes;
    }

    /// Closes a connection whose peer has taken no byte since the last check.
    void check_graceful_close()
    {
        if (moved_bytes() == std::exchange(moved_bytes_at_check, moved_bytes()))
            close();
    }

    void close()
    {
        if (std::exchange(handle_is_closing, true))
            return;
        graceful_close_timer.reset();
        uv_close(reinterpret_cast<uv_handle_t*>(&handle),
                 [](uv_handle_t* closed) { delete static_cast<state*>(closed->data); });
    }
};

stream_socket::stream_socket(event_loop& loop, stream_listener& listener, memory_budget& budget)
    : state_(new state(loop, listener, budget))
{}

stream_socket::~stream_socket()
{
    if (state_ == nullptr)
        return;
    state_->listener = nullptr;
    // After close_gracefully the handle is closed when the peer closes its side.
    if (!state_->closing_gracefully)
        state_->close();
}

void stream_socket::report_end(state* self, stream_end end_reason)
{
    if (self->listener == nullptr)
        return;
    stream_listener* const listener = std::exchange(self->listener, nullptr);
    listener->on_stream_end(end_reason);
}

void stream_socket::start_reading(state& self)
{
    uv_tcp_nodelay(&self.handle, 1);
    set_unacknowledged_timeout(self.handle, self.unacknowledged_timeout);
    set_tcp_option(self.handle, TCP_NOTSENT_LOWAT, max_queued_bytes);
    self.limit_unread_bytes();
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&self.handle),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
            auto& read_buffer = shared_read_buffer();
            *buffer = uv_buf_init(read_buffer.data(), static_cast<unsigned>(read_buffer.size()));
        },
        [](uv_stream_t* stream, ssize_t size, uv_buf_t const* buffer) {
            auto* const read_state = static_cast<state*>(stream->data);
            if (size == 0)
                return;
            if (read_state->listener == nullptr) {
                // Bytes after close_gracefully are read and discarded: closing a socket with unread
                // bytes resets the connection, and the peer could lose the last answer.
                if (size < 0)
                    read_state->close();
                else
                    read_state->discard(static_cast<std::size_t>(size));
                return;
            }
            if (size < 0) {
                uv_read_stop(stream);
                report_end(read_state, read_state->end_after_read(size));
                return;
            }
            read_state->read_bytes += static_cast<std::uint64_t>(size);
            read_state->listener->on_bytes(
                std::string_view(buffer->base, static_cast<std::size_t>(size)));
        });
}

void stream_socket::read_arrived()
{
    uv_os_fd_t descriptor = -1;
    bool const is_open = state_ != nullptr && !state_->handle_is_closing;
    if (!is_open ||
        uv_fileno(reinterpret_cast<uv_handle_t const*>(&state_->handle), &descriptor) != 0)
        return;
    auto& read_buffer = shared_read_buffer();
    ssize_t const size = recv(descriptor, read_buffer.data(), read_buffer.size(), MSG_DONTWAIT);
    // Ends and errors stay for the loop.
    if (size <= 0)
        return;
    state_->read_bytes += static_cast<std::uint64_t>(size);
    state_->listener->on_bytes(
        std::string_view(read_buffer.data(), static_cast<std::size_t>(size)));
}

void stream_socket::stop_reading()
{
    // Within one callback of the loop libuv reads on, up to some megabytes, unless it is stopped.
    if (state_ != nullptr && !state_->handle_is_closing)
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&state_->handle));
}

void stream_socket::connect(address const& to, duration unacknowledged_timeout)
{
    state_->unacknowledged_timeout = unacknowledged_timeout;
    state_->connect_request.data = state_;
    sockaddr_in const target = to.to_sockaddr();
    int const started = uv_tcp_connect(&state_->connect_request, &state_->handle,
                                       reinterpret_cast<sockaddr const*>(&target),
                                       [](uv_connect_t* request, int status) {
                                           auto* const self = static_cast<state*>(request->data);
                                           if (self->listener == nullptr || self->handle_is_closing)
                                               return;
                                           if (status != 0) {
                                               report_end(self, stream_end::reset);
                                               return;
                                           }
                                           start_reading(*self);
                                           self->listener->on_connected();
                                       });
    if (started != 0)
        report_end(state_, stream_end::reset);
}

bool stream_socket::accept(uv_stream_t* listening_handle, duration unacknowledged_timeout)
{
    state_->unacknowledged_timeout = unacknowledged_timeout;
    if (uv_accept(listening_handle, reinterpret_cast<uv_stream_t*>(&state_->handle)) != 0)
        return false;
    start_reading(*state_);
    return true;
}

void stream_socket::write(std::string head, message_body body)
{
    if (state_ == nullptr)
        return;
    auto* const stream = reinterpret_cast<uv_stream_t*>(&state_->handle);
    std::size_t const total_bytes = head.size() + body.size();
    state_->written_bytes += total_bytes;
    std::size_t sent_bytes = 0;
    if (state_->handle.write_queue_size == 0) {
        write_buffers const buffers = unsent_buffers(head, body, 0);
        int const accepted_bytes =
            uv_try_write(stream, buffers.data(), static_cast<unsigned>(buffers.size()));
        state_->has_failed = state_->has_failed || is_failure(accepted_bytes);
        sent_bytes = accepted_bytes > 0 ? static_cast<std::size_t>(accepted_bytes) : 0;
    }
    if (sent_bytes == total_bytes)
        return;
    auto* const request = new write_request{.request = {},
                                            .head = std::move(head),
                                            .body = std::move(body),
                                            .head_charge = make_charge(),
                                            .owner = state_};
    request->head_charge.resize(sizeof(write_request) + request->head.size());
    request->request.data = request;
    ++state_->unsent_writes;
    write_buffers const buffers = unsent_buffers(request->head, request->body, sent_bytes);
    int const started =
        uv_write(&request->request, stream, buffers.data(), static_cast<unsigned>(buffers.size()),
                 [](uv_write_t* done, int status) {
                     auto* const ended = static_cast<write_request*>(done->data);
                     // The read callback reports the end.
                     ended->owner->has_failed = ended->owner->has_failed || is_failure(status);
                     state* const owner = ended->owner;
                     --owner->unsent_writes;
                     delete ended;
                     if (status == 0 && owner->unsent_writes == 0 && owner->listener != nullptr)
                         owner->listener->on_drained();
                 });
    if (started != 0) {
        state_->has_failed = true;
        --state_->unsent_writes;
        delete request;
    }
}

memory_charge stream_socket::make_charge() const
{
    return state_ == nullptr ? memory_charge() : memory_charge(state_->account);
}

std::size_t stream_socket::unsent_bytes() const
{
    return state_ == nullptr ? 0 : state_->handle.write_queue_size;
}

std::size_t stream_socket::unsent_writes() const
{
    return state_ == nullptr ? 0 : state_->unsent_writes;
}

address stream_socket::peer_address() const
{
    sockaddr_storage name{};
    int length = sizeof name;
    bool const is_known =
        state_ != nullptr &&
        uv_tcp_getpeername(&state_->handle, reinterpret_cast<sockaddr*>(&name), &length) == 0;
    return is_known ? address::from_sockaddr(reinterpret_cast<sockaddr const&>(name)) : address{};
}

bool stream_socket::has_unread_input() const
{
    if (state_ == nullptr)
        return false;
    peeked_input const input = peek(reinterpret_cast<uv_handle_t const*>(&state_->handle));
    state_->has_failed = state_->has_failed || input == peeked_input::failure;
    return input == peeked_input::bytes || input == peeked_input::end;
}

void stream_socket::close()
{
    if (state_ == nullptr)
        return;
    state_->listener = nullptr;
    // Frees the state in the close callback.
    std::exchange(state_, nullptr)->close();
}

void stream_socket::close_gracefully(graceful_close_limits limits,
                                     std::function<void(std::size_t)> on_discarded)
{
    if (state_ == nullptr || std::exchange(state_->closing_gracefully, true) ||
        state_->handle_is_closing)
        return;
    state_->on_discarded = std::move(on_discarded);
    state_->discardable_bytes = limits.max_discarded_bytes;
    state_->listener = nullptr;
    state_->moved_bytes_at_check = state_->moved_bytes();
    state_->graceful_close_timer = std::make_unique<timer>(state_->loop);
    state_->graceful_close_timer->start_periodic(
        limits.max_stall, [state = state_] { state->check_graceful_close(); });
    state_->shutdown_request.data = state_;
    uv_tcp_keepalive(&state_->handle, 1, keep_alive_probe_delay_s);
    int const started =
        uv_shutdown(&state_->shutdown_request, reinterpret_cast<uv_stream_t*>(&state_->handle),
                    [](uv_shutdown_t* request, int status) {
                        if (status != 0)
                            static_cast<state*>(request->data)->close();
                    });
    if (started != 0)
        state_->close();
}

} // namespace burdockstep::http1
