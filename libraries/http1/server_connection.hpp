/// One caller's connection of the HTTP/1.1 server.
#pragma once

#include "libraries/http1/server.hpp"
#include "libraries/http1/stream_socket.hpp"

#include <deque>
#include <memory>

namespace burdockstep::http1 {

/// Reads requests and writes their answers in the order of the requests.
class server_connection final : public message_listener, public stream_listener
{
public:
    struct owner
    {
        virtual ~owner() = default;
        virtual void on_request(std::shared_ptr<exchange> each) = 0;
        /// Called when the connection has ended. The owner must destroy it later, from the loop.
        virtual void on_connection_closed(server_connection& connection, connection_end end,
                                          std::size_t unanswered_requests) = 0;
        /// Returns a handler of the sizes of the reads after this server has ended a connection. It
        /// may outlive the owner.
        virtual std::function<void(std::size_t)> reader_after_end(connection_end end) = 0;
    };

    /// `number` identifies the connection within its server.
    server_connection(event_loop& loop, clock_source const& clock, std::uint64_t number,
                      server_limits const& limits, memory_budget& budget, owner& connection_owner);
    ~server_connection() override;
    server_connection(server_connection const&) = delete;
    server_connection& operator=(server_connection const&) = delete;

    bool accept(uv_stream_t* listening_handle);
    /// Handles what the caller has sent by now.
    void read_arrived() { socket_.read_arrived(); }
    void set_limits(server_limits const& limits);
    /// Writes the answers that are ready and have no unanswered request before them.
    void write_ready_answers();
    void abort();
    /// Ends an answer as incomplete, and the connection with it.
    void break_off(exchange& broken_exchange);
    void close_after_answers() { closing_after_answers_ = true; }
    /// True if no request is under way here or has arrived unread, and all answers are sent.
    bool is_idle() const;
    std::size_t unanswered_requests() const { return unanswered_exchanges_.size(); }
    /// Answers 408 to a request that is received too slowly, and closes a connection that was idle
    /// for too long.
    void check_time_limits(time_point now);

    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;
    void on_bytes(std::string_view bytes) override;
    void on_stream_end(stream_end end) override;
    void on_drained() override;
    bool awaits_peer() const override { return unanswered_exchanges_.empty(); }
    /// Refuses a request that is being received, and closes the connection.
    void on_give_up() override;

private:
    friend class exchange;

    /// Charges what the incomplete request takes. Returns false if there is no room for it.
    bool try_charge_partial_request();
    void discard_partial_request();
    void write_error(int status);
    /// Writes the first answer. Returns false if it isn't complete.
    bool write_first_answer();
    void write_answer(exchange& answered_exchange, bool closes_connection);
    void write_streamed_head(exchange& started_exchange);
    void write_streamed_parts(exchange& started_exchange);
    bool may_write_more(exchange const& started_exchange) const;
    /// Lets the writer of the first answer go on if it waits. Its handler is called from the loop.
    void notify_writer();
    bool closes_after_first_answer() const;
    void stop_reading_with_error(int status);
    void end_connection(connection_end end);

    event_loop& loop_;
    clock_source const& clock_;
    std::uint64_t number_;
    server_limits limits_;
    owner& owner_;
    stream_socket socket_;
    message_reader reader_;
    message_head partial_head_;
    std::string partial_body_;
    memory_charge partial_charge_;
    std::deque<std::shared_ptr<exchange>> unanswered_exchanges_;
    time_point last_activity_at_;
    duration idle_timeout_at_answer_; ///< Limit when the last answer was written.
    time_point message_started_at_;
    int error_status_ = 0; ///< Set once reading has failed; sent after the other answers.
    bool closing_after_answers_ = false;
    bool connection_ended_ = false;
};

} // namespace burdockstep::http1
