#include "tests/fakes/raw_sockets.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace burdockstep::testing {

namespace {

/// Sends what the other side still takes; a closed connection shows in what is read then.
void send_all(int connection, std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t const sent = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

/// Time for the other side to read what was sent before a reset overtakes it.
constexpr unsigned before_reset_us = 50'000;

} // namespace

address loopback()
{
    return {.ip = 0x7f000001, .port = 0};
}

raw_server::raw_server(std::string answer)
    : raw_server(std::vector<std::vector<std::string>>{{std::move(answer)}}, raw_end::close)
{}

raw_server::raw_server(std::vector<std::vector<std::string>> connections, raw_end end)
    : connections_(std::move(connections)), end_(end)
{
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name = loopback().to_sockaddr();
    // Thrown, as programs without the unit tests' harness link this file too.
    bool const bound = ::bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
    if (!bound || listen(listener_, 4) != 0)
        throw std::runtime_error("a raw server can't listen on loopback");
    socklen_t size = sizeof name;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
    at_ = address::from_sockaddr(reinterpret_cast<sockaddr const&>(name));
    thread_ = std::thread([this] { serve(); });
}

raw_server::~raw_server()
{
    // A connection that nobody makes would be waited for.
    shutdown(listener_, SHUT_RDWR);
    shutdown(connection_, SHUT_RDWR);
    thread_.join();
    close(listener_);
}

void raw_server::serve()
{
    for (auto const& answers : connections_) {
        int const connection = accept(listener_, nullptr, nullptr);
        if (connection < 0)
            return;
        connection_ = connection;
        serve_one(connection, answers);
        connection_ = -1;
        close(connection);
    }
}

void raw_server::serve_one(int connection, std::vector<std::string> const& answers) const
{
    std::array<char, 4096> buffer{};
    for (std::string const& answer : answers) {
        if (read(connection, buffer.data(), buffer.size()) <= 0)
            break;
        send_all(connection, answer);
    }
    if (end_ == raw_end::reset) {
        usleep(before_reset_us);
        linger const at_once{.l_onoff = 1, .l_linger = 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    while (end_ == raw_end::stay_open && read(connection, buffer.data(), buffer.size()) > 0) {
    }
}

std::string exchange_raw(address const& to, std::string const& bytes)
{
    int const connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in const name = to.to_sockaddr();
    if (connect(connection, reinterpret_cast<sockaddr const*>(&name), sizeof name) != 0)
        return {};
    timeval const patience{.tv_sec = 2, .tv_usec = 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    send_all(connection, bytes);
    std::string answer;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(connection, buffer.data(), buffer.size())) > 0)
        answer.append(buffer.data(), static_cast<std::size_t>(size));
    bool const closed = size == 0;
    close(connection);
    return closed ? answer : answer + "<still open>";
}

} // namespace burdockstep::testing
