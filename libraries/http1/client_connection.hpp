/// One connection of the HTTP/1.1 client.
#pragma once

#include "libraries/http1/client.hpp"
#include "libraries/http1/stream_socket.hpp"

#include <optional>
#include <unordered_set>

namespace burdockstep::http1 {

/// Carries one call at a time and reports whether it can be reused afterwards.
class client_connection final : public message_listener, public stream_listener
{
public:
    struct owner
    {
        virtual ~owner() = default;
        /// Called when the call has ended. `reusable` tells whether the connection can carry
        /// another.
        virtual void on_call_end(client_connection& connection, call_result result,
                                 bool reusable) = 0;
        /// Called when the connection ends or receives bytes while it carries no call.
        virtual void on_idle_connection_end(client_connection& connection) = 0;
        virtual void on_answer_skipped() = 0;
        /// Called when there is no room for the answer to the current call, before the call ends.
        virtual void on_answer_dropped() = 0;
        /// Called when the size of the current call's incomplete body has grown.
        virtual void on_body_growth(client_connection& connection, std::size_t added_bytes) = 0;
    };

    client_connection(event_loop& loop, clock_source const& clock, client_limits const& limits,
                      memory_budget& budget, owner& connection_owner, address to);

    /// Starts a call. Connects first if the connection is new.
    void start(call_number call, call_options options);
    /// Ends the current call before its answer is complete. Does nothing if there is none.
    void break_call();
    /// Ends the current call without reporting it. The connection must not be used afterwards.
    void abandon();
    /// Size of the current call's incomplete body.
    std::size_t buffered_bytes() const { return result_.body.size(); }
    /// Prevents the connection from being reused after its current call.
    void disallow_reuse() { reuse_disallowed_ = true; }

    call_number call() const { return call_; }
    address const& to() const { return to_; }
    time_point idle_since() const { return idle_since_; }
    /// True if an earlier call on this connection had the same answer id: a second answer to that
    /// call could be taken for the answer to the next one.
    bool has_carried(http_header const& answer_id) const;
    /// Time at which the idle connection is to be closed.
    time_point expires_at() const { return expires_at_; }

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_stream_end(stream_end end) override;
    /// True while an answer is incomplete, and without a call.
    bool awaits_peer() const override { return !options_ || answer_charge_.bytes() > 0; }
    void on_give_up() override;
    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;

private:
    void send_request();
    /// Memory that the incomplete answer takes.
    std::size_t answer_bytes() const;
    void drop_answer();
    /// Breaks the call under way because its answer exceeds a limit, or is malformed (`none`).
    void break_over_limit(answer_limit limit);
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
    timer timeout_timer_; ///< Limits the connect, then the wait for the answer.
    timer call_timer_;    ///< Limits the whole call.
    call_number call_;
    std::optional<call_options> options_; ///< Options of the current call; empty while idle.
    call_result result_;
    memory_charge answer_charge_;                          ///< For the incomplete answer.
    std::function<void(message_head const&)> on_any_head_; ///< From the last call's options.
    std::unordered_set<std::uint64_t> carried_ids_; ///< Hashes of the answer ids of all calls.
    std::size_t call_body_bytes_ = 0; ///< Those of `call_bytes_` that belong to a body.
    std::size_t call_bytes_ = 0;      ///< Bytes that have arrived during the current call.
    time_point connect_started_at_;
    time_point idle_since_;
    time_point expires_at_;
    duration keep_alive_time_;
    bool connected_ = false;
    bool has_ended_a_call_ = false;
    bool skipping_answer_ = false; ///< The answer being read is interim (1xx) or not the call's.
    bool has_skipped_answer_ = false;
    bool got_unrequested_answer_ = false; ///< An answer arrived while no call was under way.
    bool reuse_disallowed_ = false;
};

} // namespace burdockstep::http1
