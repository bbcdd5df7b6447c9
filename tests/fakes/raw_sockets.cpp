#include "tests/fakes/raw_sockets.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace burdockstep::testing {

namespace {

/// Gives the peer time to read the sent bytes, which a reset would discard.
constexpr unsigned reset_delay_us = 50'000;

} // namespace

address loopback_any_port()
{
    return {.ip = 0x7f000001, .port = 0};
}

loopback_listener open_loopback_listener()
{
    loopback_listener opened{.descriptor = socket(AF_INET, SOCK_STREAM, 0), .at = {}};
    sockaddr_in socket_address = loopback_any_port().to_sockaddr();
    // An exception rather than a CHECK: programs without the unit-test harness link this file too.
    bool const bound = ::bind(opened.descriptor, reinterpret_cast<sockaddr*>(&socket_address),
                              sizeof socket_address) == 0;
    if (!bound || listen(opened.descriptor, 4) != 0)
        throw std::runtime_error("no port of 127.0.0.1 can be bound");
    socklen_t size = sizeof socket_address;
    getsockname(opened.descriptor, reinterpret_cast<sockaddr*>(&socket_address), &size);
    opened.at = address::from_sockaddr(reinterpret_cast<sockaddr const&>(socket_address));
    return opened;
}

bool send_all(int connection, std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t const sent = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

raw_server::raw_server(std::string answer)
    : raw_server(std::vector<std::vector<std::string>>{{std::move(answer)}}, raw_server_end::close)
{}

raw_server::raw_server(std::vector<std::vector<std::string>> connections, raw_server_end end)
    : answers_by_connection_(std::move(connections)), end_(end)
{
    loopback_listener const opened = open_loopback_listener();
    listener_ = opened.descriptor;
    at_ = opened.at;
    thread_ = std::thread([this] { serve_connections(); });
}

raw_server::~raw_server()
{
    // Wakes the thread from `accept` and `read`, which would otherwise block the join.
    shutdown(listener_, SHUT_RDWR);
    shutdown(open_connection_, SHUT_RDWR);
    thread_.join();
    close(listener_);
}

void raw_server::serve_connections()
{
    for (auto const& answers_to_send : answers_by_connection_) {
        int const connection = accept(listener_, nullptr, nullptr);
        if (connection < 0)
            return;
        open_connection_ = connection;
        serve_connection(connection, answers_to_send);
        open_connection_ = -1;
        close(connection);
    }
}

void raw_server::serve_connection(int connection,
                                  std::vector<std::string> const& answers_to_send) const
{
    std::array<char, 4096> buffer{};
    for (std::string const& answer : answers_to_send) {
        if (read(connection, buffer.data(), buffer.size()) <= 0)
            break;
        send_all(connection, answer); // An error is reported by the next read.
    }
    if (end_ == raw_server_end::reset) {
        usleep(reset_delay_us);
        linger const reset_on_close{.l_onoff = 1, .l_linger = 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    }
    while (end_ == raw_server_end::stay_open &&
           read(connection, buffer.data(), buffer.size()) > 0) {
    }
}

int connect_and_send(address const& to, std::string const& bytes)
{
    int const connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in const socket_address = to.to_sockaddr();
    if (connect(connection, reinterpret_cast<sockaddr const*>(&socket_address),
                sizeof socket_address) != 0) {
        close(connection);
        return -1;
    }
    timeval const receive_timeout{.tv_sec = 2, .tv_usec = 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    send_all(connection, bytes);
    return connection;
}

std::string read_until_close(int connection)
{
    std::string answer;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(connection, buffer.data(), buffer.size())) > 0)
        answer.append(buffer.data(), static_cast<std::size_t>(size));
    bool const closed = size == 0;
    close(connection);
    return closed ? answer : answer + "<still open>";
}

std::string send_and_read_until_close(address const& to, std::string const& bytes)
{
    int const connection = connect_and_send(to, bytes);
    return connection < 0 ? std::string() : read_until_close(connection);
}

} // namespace burdockstep::testing
