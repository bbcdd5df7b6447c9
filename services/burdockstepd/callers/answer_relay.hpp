/// Streams one answer from an upstream or a peer entry to the caller, with back-pressure.
#pragma once

#include "libraries/entry/entry_messages.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/net/http_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burdockstep {

/// Receives the events of an `answer_relay`. A callback may destroy the relay.
class answer_relay_listener
{
public:
    virtual ~answer_relay_listener() = default;
    /// The head of the answer has arrived. Return true to forward the answer to the caller.
    virtual bool on_relay_answer_head(request_id id, answer_head_kind kind) = 0;
    /// The upstream or peer entry announced that it accepts no new requests.
    virtual void on_relay_target_leaving(request_id id) = 0;
    virtual void on_relay_send_ended(request_id id, send_end end,
                                     std::optional<retained_answer> answer) = 0;
};

/// Sends a request once and forwards its answer to the caller if the listener asks for it.
class answer_relay final : public call_listener
{
public:
    answer_relay(request_id id, std::shared_ptr<http_exchange> exchange, http_client& client,
                 answer_relay_listener& listener);
    ~answer_relay() override;
    answer_relay(answer_relay const&) = delete;
    answer_relay& operator=(answer_relay const&) = delete;

    void start(call_options const& options);
    /// The caller has disconnected: stops waiting for its socket, and reads the answer to its end.
    void stop_waiting_for_caller();

    void on_head(http_head const& head) override;
    bool on_body(std::string_view bytes) override;
    void on_done(call_end end) override;

private:
    http_head make_caller_head(http_head const& head) const;

    request_id id_;
    std::shared_ptr<http_exchange> exchange_;
    http_client& send_client_;
    answer_relay_listener& listener_;
    call_number client_call_ = 0;
    bool send_in_progress_ = false;
    bool forwards_answer_ = false;
    bool writes_blocked_ = false; ///< The caller's socket hasn't yet sent what was written.
    retained_answer answer_to_retain_;
    bool too_large_to_retain_ = false;
};

/// Names of the HTTP headers exchanged with callers and upstreams, in lower case.
namespace header {
inline constexpr char ticket[] = "burdockstep-ticket";
inline constexpr char next_ticket[] = "burdockstep-next-ticket";
inline constexpr char deadline[] = "burdockstep-deadline-ms";
inline constexpr char outcome[] = "burdockstep-outcome";
inline constexpr char reason[] = "burdockstep-reason";
inline constexpr char route[] = "burdockstep-route";
/// The caller's region as the caller states it; passed on to peer entries.
inline constexpr char region[] = "burdockstep-region";
/// Sent by an upstream that did not run the request; the value is the reason.
inline constexpr char not_run[] = "burdockstep-not-run";
/// Sent by an upstream that accepts no new requests; says nothing about this answer.
inline constexpr char leaving[] = "burdockstep-leaving";
} // namespace header

} // namespace burdockstep
