/// Serves callers: look-ups, and calls that are carried to upstreams.
#pragma once

#include "services/burdockstepd/callers/answer_relay.hpp"
#include "services/burdockstepd/daemon_context.hpp"

#include "libraries/core/log.hpp"
#include "libraries/entry/entry_engine.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/net/http_server.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace burdockstep {

/// Owns the callers' socket and the entry engine, and carries out the engine's commands.
class callers_task final : public task, public relay_owner
{
public:
    explicit callers_task(daemon_context& context);
    ~callers_task() override;

    std::string_view name() const override { return "callers"; }
    result<void> try_start() override;
    void receive(event const& what) override;
    bool is_idle() const override;

    bool on_relay_head(request_id id, answer_head_kind kind) override;
    void on_relay_leaving(request_id id) override;
    void on_relay_end(request_id id, send_end end, std::optional<retained_answer> answer) override;

    /// For the operators' pages.
    entry_engine const& engine() const { return engine_; }
    std::uint64_t lookups_answered() const { return lookups_answered_; }
    std::size_t connections() const { return server_.connections(); }

private:
    struct open_call
    {
        std::shared_ptr<http_exchange> exchange;
        std::unique_ptr<answer_relay> relay;
    };

    void on_request(std::shared_ptr<http_exchange> exchange);
    void answer_lookup(http_exchange& exchange);
    std::string entry_json(member_view const& entry, service const& wanted, unsigned tickets);
    void start_call(std::shared_ptr<http_exchange> exchange);
    void carry_out(entry_engine::commands const& commands);
    void send(send_upstream const& command);
    void send(send_peer const& command);
    void start_relay(open_call& call, request_id id, call_options const& options);
    void reply(request_id id, int status, char const* outcome, http_headers extra,
               std::string const& text);
    call_options base_options(open_call const& call, duration time_left) const;
    void note_epoch();
    void publish_reports();
    void log_end(request_id id, std::string_view outcome, refusal_reason reason);

    daemon_context& context_;
    logger log_{"callers"};
    http_server server_;
    http_client client_;
    entry_engine engine_;
    std::unordered_map<request_id, open_call> calls_;
    std::unordered_map<request_id, upstream_name> sent_to_;
    timer tick_timer_;
    timer report_timer_;
    epoch_number published_epoch_;
    std::uint64_t next_call_ = 1;
    std::uint64_t lookups_answered_ = 0;
};

} // namespace burdockstep
