/// An upstream whose answers are computed from each request, for tests of HTTP clients.
#pragma once

#include "libraries/core/address.hpp"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace burdockstep::testing {

/// What a `scripted_upstream` does when a request has arrived.
struct upstream_reaction
{
    /// Sent one after the other, with a short pause between them, so that they arrive apart.
    std::vector<std::string> segments;
    bool closes = false; ///< Closes the connection afterwards.
};

/// Serves any number of connections on a thread of its own. Requests have no bodies.
class scripted_upstream
{
public:
    /// Receives a request's bytes and the number of its connection: 0 for the first one accepted.
    /// Runs on the upstream's thread.
    using script = std::function<upstream_reaction(std::string const& request, int connection)>;

    explicit scripted_upstream(script reactions);
    ~scripted_upstream();
    scripted_upstream(scripted_upstream const&) = delete;
    scripted_upstream& operator=(scripted_upstream const&) = delete;

    address const& at() const { return at_; }

private:
    struct connection
    {
        int descriptor = -1;
        int number = 0;
        std::string received;
    };

    void serve();
    /// Returns false if the connection has ended.
    bool serve_request(connection& from) const;

    script reactions_;
    int listener_ = -1;
    address at_;
    std::vector<connection> connections_;
    std::thread thread_;
};

} // namespace burdockstep::testing
