/// Blocking sockets that send and collect raw bytes, for tests of transports.
#pragma once

#include "libraries/core/address.hpp"

#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace burdockstep::testing {

/// 127.0.0.1 with a port that the system picks.
address loopback_any_port();

/// How a raw server ends a connection after its last bytes.
enum class raw_server_end
{
    close,
    reset,
    stay_open ///< Until the other side closes.
};

/// Accepts connections one after the other; on each it waits for bytes before each of its answers.
class raw_server
{
public:
    /// One connection, one answer, closed in order.
    explicit raw_server(std::string answer);
    /// `connections` holds the answers of each connection in turn.
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
    std::atomic<int> open_connection_ = -1; ///< The one that is served.
    address at_;
    std::thread thread_;
};

/// Sends raw bytes and returns all that comes back until the other side closes; where it stays
/// open, "<still open>" stands at the end.
std::string send_and_read_until_close(address const& to, std::string const& bytes);

} // namespace burdockstep::testing
