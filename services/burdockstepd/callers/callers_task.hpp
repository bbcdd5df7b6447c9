/// Serves callers: answers look-ups and forwards calls to upstreams or other entries.
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

/// Owns the listening socket for callers and the entry engine, and executes the engine's commands.
class callers_task final : public task, public answer_relay_listener
{
public:
    explicit callers_task(daemon_context& context);
    ~callers_task() override;

    std::string_view name() const override { return "callers"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;
    bool is_idle() const override;

    bool on_relay_answer_head(request_id id, answer_head_kind kind) override;
    void on_relay_target_leaving(request_id id) override;
    void on_relay_send_ended(request_id id, send_end end,
                             std::optional<retained_answer> answer) override;

    /// Read by the operators task for status and metrics.
    entry_engine const& engine() const { return engine_; }
    std::uint64_t lookups_answered() const { return lookups_answered_; }
    std::size_t connections() const { return callers_server_.connections(); }
    /// Answers of upstreams and peers that were ended because they exceed a limit.
    std::uint64_t answers_over(http1::answer_limit limit) const
    {
        return send_client_.broken_by(limit);
    }
    http1::memory_budget const& budget() const { return callers_server_.budget(); }

private:
    struct call_in_progress
    {
        std::shared_ptr<http_exchange> exchange;
        std::unique_ptr<answer_relay> relay;
    };

    void on_request(std::shared_ptr<http_exchange> exchange);
    void reply_to_lookup(http_exchange& exchange);
    std::string format_entry_json(member_view const& entry, service const& requested_service,
                                  unsigned tickets_per_entry);
    void start_call(std::shared_ptr<http_exchange> exchange);
    void execute_engine_commands(entry_engine::commands const& commands);
    void send(send_upstream const& command);
    void send(send_peer const& command);
    void start_answer_relay(call_in_progress& call, request_id id, call_options const& options);
    void reply_to_caller(request_id id, int status, char const* outcome, http_headers extra_headers,
                         std::string const& text);
    call_options make_common_send_options(call_in_progress const& call, duration time_left) const;
    void publish_newest_epoch();
    void publish_pool_reports();
    void log_request_not_answered(request_id id, std::string_view outcome, refusal_reason reason);

    daemon_context& context_;
    logger log_{"callers"};
    http_server callers_server_;
    http_client send_client_;
    entry_engine engine_;
    std::unordered_map<request_id, call_in_progress> calls_in_progress_;
    std::unordered_map<request_id, upstream_name> last_upstream_by_request_;
    timer engine_tick_timer_;
    timer pool_report_timer_;
    epoch_number last_published_epoch_;
    std::uint64_t next_request_number_ = 1;
    std::uint64_t lookups_answered_ = 0;
};

} // namespace burdockstep
