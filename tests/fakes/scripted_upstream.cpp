#include "tests/fakes/scripted_upstream.hpp"

#include "tests/fakes/raw_sockets.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace burdockstep::testing {

namespace {

constexpr unsigned segment_pause_us = 1'000;
constexpr int no_poll_timeout = -1;
constexpr std::string_view end_of_head = "\r\n\r\n";

} // namespace

scripted_upstream::scripted_upstream(script reactions) : reactions_(std::move(reactions))
{
    loopback_listener const opened = open_loopback_listener();
    listener_ = opened.descriptor;
    at_ = opened.at;
    thread_ = std::thread([this] { serve(); });
}

scripted_upstream::~scripted_upstream()
{
    shutdown(listener_, SHUT_RDWR); // Wakes the thread from `poll`.
    thread_.join();
    close(listener_);
}

void scripted_upstream::serve()
{
    int accepted = 0;
    while (true) {
        std::vector<pollfd> polled{{.fd = listener_, .events = POLLIN, .revents = 0}};
        for (connection const& each : connections_)
            polled.push_back({.fd = each.descriptor, .events = POLLIN, .revents = 0});
        if (poll(polled.data(), polled.size(), no_poll_timeout) < 0)
            break;
        for (std::size_t i = connections_.size(); i-- > 0;) {
            if (polled[i + 1].revents == 0 || serve_request(connections_[i]))
                continue;
            close(connections_[i].descriptor);
            connections_.erase(connections_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (polled.front().revents == 0)
            continue;
        int const descriptor = accept(listener_, nullptr, nullptr);
        if (descriptor < 0)
            break;
        int const without_delay = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &without_delay, sizeof without_delay);
        connections_.push_back({.descriptor = descriptor, .number = accepted++, .received = {}});
    }
    for (connection const& each : connections_)
        close(each.descriptor);
}

bool scripted_upstream::serve_request(connection& from) const
{
    std::array<char, 4096> buffer{};
    ssize_t const size = read(from.descriptor, buffer.data(), buffer.size());
    if (size <= 0)
        return false;
    from.received.append(buffer.data(), static_cast<std::size_t>(size));
    if (!from.received.ends_with(end_of_head))
        return true;
    upstream_reaction const reaction = reactions_(std::exchange(from.received, {}), from.number);
    for (std::size_t i = 0; i < reaction.segments.size(); ++i) {
        if (i > 0)
            usleep(segment_pause_us);
        if (!send_all(from.descriptor, reaction.segments[i]))
            return false;
    }
    return !reaction.closes;
}

} // namespace burdockstep::testing
