/// Blocking sockets that send and receive raw bytes, for tests of HTTP servers and clients.
#pragma once

#include "libraries/core/address.hpp"

#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace burdockstep::testing {

/// 127.0.0.1 and port 0: the system picks a free port when it is bound.
address loopback_any_port();

/// A listening socket on a free port of 127.0.0.1. The code that opens it closes `descriptor`.
struct loopback_listener
{
    int descriptor = -1;
    address at;
};

/// Throws when no port can be bound.
loopback_listener open_loopback_listener();

/// Sends bytes until all are sent or the peer accepts no more. Returns false in the second case.
bool send_all(int connection, std::string_view bytes);

/// How a `raw_server` ends a connection after its last answer.
enum class raw_server_end
{
    close,
    reset,
    stay_open ///< Kept open until the peer closes.
};

/// Server on a thread of its own that sends scripted answers. Accepts connections one after the
/// other, and reads some bytes before it sends each answer.
class raw_server
{
public:
    /// Accepts one connection, sends one answer and closes.
    explicit raw_server(std::string answer);
    /// `connections` holds the answers to send on each connection, in the order of acceptance.
    raw_server(std::vector<std::vector<std::string>> connections, raw_server_end end);
    ~raw_server();
    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;

    address const& at() const { return at_; }

private:
    void serve_connections();
    void serve_connection(int connection, std::vector<std::string> const& answers_to_send) const;

    std::vector<std::vector<std::string>> answers_by_connection_;
    raw_server_end end_;
    int listener_ = -1;
    std::atomic<int> open_connection_ = -1; ///< Descriptor of the connection being served, or -1.
    address at_;
    std::thread thread_;
};

/// Connects, sends raw bytes and returns the descriptor, or -1 if the connection failed.
int connect_and_send(address const& to, std::string const& bytes);

/// Returns everything received until the peer closes, and closes the descriptor. If nothing arrives
/// for two seconds, returns what was received with "<still open>" appended.
std::string read_until_close(int connection);

/// `connect_and_send`, then `read_until_close`.
std::string send_and_read_until_close(address const& to, std::string const& bytes);

} // namespace burdockstep::testing
