#include "tests/fakes/endless_server.hpp"

#include "tests/fakes/raw_sockets.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace burdockstep::testing {

endless_server::endless_server(std::string start, std::string part, duration pause_between_parts)
    : start_(std::move(start)), part_(std::move(part)), pause_between_parts_(pause_between_parts)
{
    loopback_listener const opened = open_loopback_listener();
    listener_ = opened.descriptor;
    at_ = opened.at;
    thread_ = std::thread([this] { serve(); });
}

endless_server::~endless_server()
{
    // Wakes the thread from `accept` and `send`, which would otherwise block the join.
    shutdown(listener_, SHUT_RDWR);
    shutdown(connection_, SHUT_RDWR);
    thread_.join();
    close(listener_);
}

void endless_server::serve()
{
    connection_ = accept(listener_, nullptr, nullptr);
    if (connection_ < 0)
        return;
    bool peer_accepts_bytes = send_all(connection_, start_);
    while (peer_accepts_bytes) {
        peer_accepts_bytes = send_all(connection_, part_);
        std::this_thread::sleep_for(pause_between_parts_);
    }
    close(connection_);
}

} // namespace burdockstep::testing
