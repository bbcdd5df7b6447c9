/// Moves one answer from an upstream or a peer entry to the caller, with back-pressure.
#pragma once

#include "libraries/entry/entry_messages.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/net/http_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burdockstep {

/// Reports of a relay to its owner. The owner may destroy the relay at any time.
class answer_relay_listener
{
public:
    virtual ~answer_relay_listener() = default;
    /// The head has arrived. Return true to have the answer handed on to the caller.
    virtual bool on_relay_answer_head(request_id id, answer_head_kind kind) = 0;
    /// The other side says that it takes no new work.
    virtual void on_relay_target_leaving(request_id id) = 0;
    virtual void on_relay_send_ended(request_id id, send_end end,
                                     std::optional<retained_answer> answer) = 0;
};

/// One send of a request.
class answer_relay final : public call_listener
{
public:
    answer_relay(request_id id, std::shared_ptr<http_exchange> exchange, http_client& client,
                 answer_relay_listener& listener);
    ~answer_relay() override;
    answer_relay(answer_relay const&) = delete;
    answer_relay& operator=(answer_relay const&) = delete;

    void start(call_options const& options);
    /// The caller has gone; the answer is read to its end all the same.
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
    bool writes_blocked_ = false; ///< The caller hasn't taken what was written yet.
    retained_answer answer_to_retain_;
    bool too_large_to_retain_ = false;
};

/// Header names of the callers' and upstreams' protocol, lower case.
namespace header {
inline constexpr char ticket[] = "burdockstep-ticket";
inline constexpr char next_ticket[] = "burdockstep-next-ticket";
inline constexpr char deadline[] = "burdockstep-deadline-ms";
inline constexpr char outcome[] = "burdockstep-outcome";
inline constexpr char reason[] = "burdockstep-reason";
inline constexpr char route[] = "burdockstep-route";
/// The caller's region, when its address doesn't tell it.
inline constexpr char region[] = "burdockstep-region";
/// From an upstream: the request wasn't run, with the reason as value.
inline constexpr char not_run[] = "burdockstep-not-run";
/// From an upstream: it takes no new work, whatever the answer.
inline constexpr char leaving[] = "burdockstep-leaving";
} // namespace header

} // namespace burdockstep
