#include "libraries/net/udp_socket.hpp"

#include <fmt/format.h>

#include <netinet/in.h>
#include <utility>

namespace burdockstep {

udp_socket::udp_socket(event_loop& loop) : state_(new state)
{
    state_->handle.data = state_;
    uv_udp_init(loop.raw(), &state_->handle);
}

udp_socket::~udp_socket()
{
    state_->handler = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
             [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

result<address> udp_socket::try_bind(address const& at, datagram_handler handler)
{
    state_->handler = std::move(handler);
    sockaddr_in const requested_address = at.to_sockaddr();
    int const bind_status =
        uv_udp_bind(&state_->handle, reinterpret_cast<sockaddr const*>(&requested_address), 0);
    if (bind_status != 0) {
        return fail(error_kind::invalid_input,
                    fmt::format("UDP address {} can't be bound ({}); free it or choose another",
                                at.text(), uv_strerror(bind_status)));
    }
    uv_udp_recv_start(
        &state_->handle,
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            auto* const self = static_cast<state*>(handle->data);
            *buffer = uv_buf_init(self->buffer, sizeof self->buffer);
        },
        [](uv_udp_t* handle, ssize_t size, uv_buf_t const* buffer, sockaddr const* from, unsigned) {
            auto* const self = static_cast<state*>(handle->data);
            if (size < 0 || from == nullptr || !self->handler)
                return;
            self->handler(address::from_sockaddr(*from),
                          std::string_view(buffer->base, static_cast<std::size_t>(size)));
        });
    sockaddr_storage bound_address{};
    int length = sizeof bound_address;
    uv_udp_getsockname(&state_->handle, reinterpret_cast<sockaddr*>(&bound_address), &length);
    return address::from_sockaddr(reinterpret_cast<sockaddr const&>(bound_address));
}

void udp_socket::send(address const& to, std::string_view bytes)
{
    sockaddr_in const target = to.to_sockaddr();
    uv_buf_t const buffer =
        uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    uv_udp_try_send(&state_->handle, &buffer, 1, reinterpret_cast<sockaddr const*>(&target));
}

} // namespace burdockstep
