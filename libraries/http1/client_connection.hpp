/// One connection of the HTTP/1.1 client.
#pragma once

#include "libraries/http1/client.hpp"
#include "libraries/http1/stream_socket.hpp"

#include <optional>

namespace burdockstep::http1 {

/// Carries one call at a time and tells whether it can be kept after it.
class client_connection final : public message_listener, public stream_listener
{
public:
    struct owner
    {
        virtual ~owner() = default;
        /// The connection's call is over. It can carry another one when `reusable`.
        virtual void on_call_end(client_connection& connection, call_result result,
                                 bool reusable) = 0;
        /// The connection ended, or got bytes, while it was idle.
        virtual void on_idle_connection_end(client_connection& connection) = 0;
        virtual void on_answer_skipped() = 0;
    };

    client_connection(event_loop& loop, clock_source const& clock, client_limits const& limits,
                      owner& connection_owner, address to);

    /// Starts a call. On a new connection it connects first.
    void start(call_number call, call_options options);
    /// Doesn't keep the connection once its call has ended.
    void disallow_reuse() { reuse_disallowed_ = true; }

    call_number call() const { return call_; }
    address const& to() const { return to_; }
    time_point idle_since() const { return idle_since_; }
    /// When the connection is to be closed for its idleness.
    time_point expires_at() const { return expires_at_; }

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_stream_end(stream_end end) override;
    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;

private:
    void send_request();
    void end_call(call_end end);
    void restart_answer_timeout();
    bool is_own_answer(message_head const& head) const;
    void apply_keep_alive_header(message_head const& head);

    clock_source const& clock_;
    client_limits limits_;
    owner& owner_;
    address to_;
    stream_socket socket_;
    message_reader reader_;
    timer timeout_timer_; ///< Limits connecting, then the wait for the answer.
    call_number call_;
    std::optional<call_options> options_; ///< Of the call under way.
    call_result result_;
    time_point connect_started_at_;
    time_point idle_since_;
    time_point expires_at_;
    duration keep_alive_time_;
    bool connected_ = false;
    bool has_ended_a_call_ = false;
    bool skipping_answer_ = false; ///< The answer that is being read belongs to another request.
    bool has_skipped_answer_ = false;
    bool got_unrequested_answer_ = false; ///< An answer began that no request asked for.
    bool reuse_disallowed_ = false;
};

} // namespace burdockstep::http1
