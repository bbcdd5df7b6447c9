/// One caller's connection of the HTTP/1.1 server.
#pragma once

#include "libraries/http1/server.hpp"
#include "libraries/http1/stream_socket.hpp"

#include <deque>
#include <memory>

namespace burdockstep::http1 {

/// Reads requests, keeps their order, and writes the answers in that order.
class server_connection final : public message_listener, public stream_listener
{
public:
    struct owner
    {
        virtual ~owner() = default;
        virtual void take_request(std::shared_ptr<exchange> each) = 0;
        /// The connection is over; the owner destroys it later, from the loop.
        virtual void take_closed(server_connection& connection) = 0;
    };

    server_connection(event_loop& loop, clock_source const& clock, server_limits const& limits,
                      owner& its_owner);
    ~server_connection() override;
    server_connection(server_connection const&) = delete;
    server_connection& operator=(server_connection const&) = delete;

    bool accept(uv_stream_t* listening);
    /// An answer was handed to one of the exchanges.
    void write_ready_answers();
    void abort();
    void close_after_answers() { closing_ = true; }
    /// Closes the connection when it has nothing under way.
    void close_if_idle();
    /// Ends the connection when it breaks a time limit.
    void check_time_limits(time_point now);

    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;
    void on_bytes(std::string_view bytes) override;
    void on_stream_end(stream_end end) override;

private:
    void write_answer(exchange& which, bool last);
    void refuse_reading(int status);
    void finish(bool in_order);

    clock_source const& clock_;
    server_limits limits_;
    owner& owner_;
    stream_socket socket_;
    message_reader reader_;
    server_request reading_;
    std::deque<std::shared_ptr<exchange>> waiting_;
    time_point last_activity_;
    time_point head_began_;
    int refusal_status_ = 0; ///< Answered behind the others once reading has failed.
    bool closing_ = false;
    bool finished_ = false;
};

} // namespace burdockstep::http1
