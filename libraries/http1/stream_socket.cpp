#include "libraries/http1/stream_socket.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace burdockstep::http1 {

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

/// Probes find a peer that vanished before it closed its side.
constexpr unsigned keep_alive_probe_s = 5;

/// All streams of the thread read into one buffer: its bytes are used up before the next read.
std::array<char, read_buffer_bytes>& shared_read_buffer()
{
    static thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

/// The loop reports a reset that follows bytes as an orderly end: the socket tells which it was.
stream_end end_of(uv_stream_t* stream)
{
    uv_os_fd_t descriptor = -1;
    char byte = 0;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(stream), &descriptor) != 0)
        return stream_end::reset;
    ssize_t const read = recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return read == 0 ? stream_end::closed : stream_end::reset;
}

struct write_request
{
    uv_write_t request{};
    std::string bytes;
};

void set_unacknowledged_limit(uv_tcp_t& handle, duration limit)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &descriptor) != 0)
        return;
    auto const milliseconds =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

} // namespace

struct stream_socket::state
{
    uv_tcp_t handle{};
    uv_connect_t connecting{};
    stream_listener* listener = nullptr;
    duration unacknowledged_limit{};
    uv_shutdown_t shutting_down{};
    bool ending_in_order = false;
    bool closing = false;

    void close()
    {
        if (std::exchange(closing, true))
            return;
        uv_close(reinterpret_cast<uv_handle_t*>(&handle),
                 [](uv_handle_t* closed) { delete static_cast<state*>(closed->data); });
    }
};

stream_socket::stream_socket(event_loop& loop, stream_listener& listener) : state_(new state)
{
    state_->handle.data = state_;
    state_->listener = &listener;
    uv_tcp_init(loop.raw(), &state_->handle);
}

stream_socket::~stream_socket()
{
    state_->listener = nullptr;
    // A stream that ends in order closes itself when the other side has closed.
    if (!state_->ending_in_order)
        state_->close();
}

void stream_socket::end(state* self, stream_end how)
{
    if (self->listener == nullptr)
        return;
    stream_listener* const listener = std::exchange(self->listener, nullptr);
    listener->on_stream_end(how);
}

void stream_socket::start_reading(state& self)
{
    uv_tcp_nodelay(&self.handle, 1);
    set_unacknowledged_limit(self.handle, self.unacknowledged_limit);
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&self.handle),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
            auto& shared = shared_read_buffer();
            *buffer = uv_buf_init(shared.data(), static_cast<unsigned>(shared.size()));
        },
        [](uv_stream_t* stream, ssize_t size, uv_buf_t const* buffer) {
            auto* const read_state = static_cast<state*>(stream->data);
            if (size == 0)
                return;
            if (read_state->listener == nullptr) {
                // What follows an orderly end is read and dropped: closing a socket with unread
                // bytes would reset it, and the other side could lose the last answer.
                if (size < 0)
                    read_state->close();
                return;
            }
            if (size < 0) {
                uv_read_stop(stream);
                end(read_state, size == UV_EOF ? end_of(stream) : stream_end::reset);
                return;
            }
            read_state->listener->on_bytes(
                std::string_view(buffer->base, static_cast<std::size_t>(size)));
        });
}

void stream_socket::connect(address const& to, duration unacknowledged_limit)
{
    state_->unacknowledged_limit = unacknowledged_limit;
    state_->connecting.data = state_;
    sockaddr_in const target = to.to_sockaddr();
    int const started = uv_tcp_connect(&state_->connecting, &state_->handle,
                                       reinterpret_cast<sockaddr const*>(&target),
                                       [](uv_connect_t* request, int status) {
                                           auto* const self = static_cast<state*>(request->data);
                                           if (self->listener == nullptr || self->closing)
                                               return;
                                           if (status != 0) {
                                               end(self, stream_end::reset);
                                               return;
                                           }
                                           start_reading(*self);
                                           self->listener->on_connected();
                                       });
    if (started != 0)
        end(state_, stream_end::reset);
}

bool stream_socket::accept(uv_stream_t* listening, duration unacknowledged_limit)
{
    state_->unacknowledged_limit = unacknowledged_limit;
    if (uv_accept(listening, reinterpret_cast<uv_stream_t*>(&state_->handle)) != 0)
        return false;
    start_reading(*state_);
    return true;
}

void stream_socket::write(std::string bytes)
{
    auto* const stream = reinterpret_cast<uv_stream_t*>(&state_->handle);
    std::size_t sent = 0;
    if (state_->handle.write_queue_size == 0) {
        uv_buf_t const buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        int const taken = uv_try_write(stream, &buffer, 1);
        sent = taken > 0 ? static_cast<std::size_t>(taken) : 0;
    }
    if (sent == bytes.size())
        return;
    auto* const request = new write_request{.request = {}, .bytes = bytes.substr(sent)};
    request->request.data = request;
    uv_buf_t const buffer =
        uv_buf_init(request->bytes.data(), static_cast<unsigned>(request->bytes.size()));
    int const started =
        uv_write(&request->request, stream, &buffer, 1, [](uv_write_t* done, int status) {
            (void)status; // The read side reports a broken connection.
            delete static_cast<write_request*>(done->data);
        });
    if (started != 0)
        delete request;
}

std::size_t stream_socket::unsent_bytes() const
{
    return state_->handle.write_queue_size;
}

void stream_socket::end_in_order()
{
    if (std::exchange(state_->ending_in_order, true) || state_->closing)
        return;
    state_->listener = nullptr;
    state_->shutting_down.data = state_;
    uv_tcp_keepalive(&state_->handle, 1, keep_alive_probe_s);
    int const started =
        uv_shutdown(&state_->shutting_down, reinterpret_cast<uv_stream_t*>(&state_->handle),
                    [](uv_shutdown_t* request, int status) {
                        if (status != 0)
                            static_cast<state*>(request->data)->close();
                    });
    if (started != 0)
        state_->close();
}

} // namespace burdockstep::http1
