/// One question and one answer over TCP, each a length of four bytes and then the bytes.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/error.hpp"
#include "libraries/net/event_loop.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockstep {

/// Limits of framed streams, the same for both sides.
struct framed_stream_limits
{
    std::size_t max_question_bytes = 64;
    std::size_t max_answer_bytes = std::size_t{6} * 1024 * 1024;
    duration exchange_timeout = std::chrono::seconds(5);
    std::size_t max_connections = 64;
};

/// Answers one question on each connection.
class framed_server
{
public:
    /// Gives the answer, or nothing to close the connection at once.
    using answer_provider =
        std::function<std::optional<std::string>(address const& from, std::string_view question)>;

    framed_server(event_loop& loop, framed_stream_limits limits);
    ~framed_server();
    framed_server(framed_server const&) = delete;
    framed_server& operator=(framed_server const&) = delete;

    /// Binds and listens. Fails with `invalid_input` when the address can't be bound.
    result<address> try_listen(address const& at, answer_provider answer);

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Asks one question and hands over the answer, or nothing when none came in time.
void ask_framed_question(event_loop& loop, address const& from, address const& to,
                         std::string const& question, framed_stream_limits const& limits,
                         std::function<void(std::optional<std::string>)> handler);

} // namespace burdockstep
