/// One question and one answer per TCP connection. Each is framed by a four-byte little-endian
/// length.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/error.hpp"
#include "libraries/net/event_loop.hpp"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockstep {

/// Limits of a framed exchange, used by the server and the client.
struct framed_stream_limits
{
    std::size_t max_question_bytes = 64;
    std::size_t max_answer_bytes = std::size_t{6} * 1024 * 1024;
    duration exchange_timeout = std::chrono::seconds(5);
    std::size_t max_connections = 64;
    /// Answers that a client receives, or a server sends, at the same time may take this much
    /// together. One is always read or sent; a server closes the connections of further questions.
    std::size_t max_held_answer_bytes = std::numeric_limits<std::size_t>::max();
};

/// Accepts connections and answers one question on each.
class framed_server
{
public:
    /// Returns the answer, or nothing to close the connection without an answer.
    using answer_provider =
        std::function<std::optional<std::string>(address const& from, std::string_view question)>;

    framed_server(event_loop& loop, framed_stream_limits limits);
    ~framed_server();
    framed_server(framed_server const&) = delete;
    framed_server& operator=(framed_server const&) = delete;

    /// Binds the address and listens. Fails with `invalid_input` if it can't be bound.
    result<address> try_listen(address const& at, answer_provider answer);

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// How a question ended. Without an answer, the exchange failed.
struct framed_answer
{
    std::optional<std::string> content;
    bool exceeds_limit = false; ///< The answer was too long, or there was no room for it.
};

/// Asks questions, each on its own connection.
class framed_client
{
public:
    framed_client(event_loop& loop, framed_stream_limits limits);

    /// Sends a question from the IP address `from` to `to`. Calls `handler` when the exchange ends.
    void ask(address const& from, address const& to, std::string const& question,
             std::function<void(framed_answer const&)> handler);

private:
    event_loop& loop_;
    framed_stream_limits limits_;
    /// Bytes of answers that have arrived in part. Connections may outlive this object.
    std::shared_ptr<std::size_t> held_answer_bytes_;
};

} // namespace burdockstep
