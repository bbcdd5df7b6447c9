/// A server that never stops sending, for tests of HTTP clients.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"

#include <atomic>
#include <string>
#include <thread>

namespace burdockstep::testing {

/// Accepts one connection on a thread of its own, sends `start`, then `part` again and again until
/// the peer closes.
class endless_server
{
public:
    endless_server(std::string start, std::string part, duration pause_between_parts = {});
    ~endless_server();
    endless_server(endless_server const&) = delete;
    endless_server& operator=(endless_server const&) = delete;

    address const& at() const { return at_; }

private:
    void serve();

    std::string start_;
    std::string part_;
    duration pause_between_parts_;
    int listener_ = -1;
    std::atomic<int> connection_ = -1;
    address at_;
    std::thread thread_;
};

} // namespace burdockstep::testing
