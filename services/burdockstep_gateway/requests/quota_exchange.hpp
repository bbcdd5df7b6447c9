/// Connects the quotas of teams to the other entries and to the forwarding engine.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/teams/team_quotas.hpp"

#include <functional>
#include <map>
#include <string>

namespace burdockstep::gateway {

/// Owns this entry's part in the quotas and their timers, which run only while a team has a quota.
class quota_exchange final : public quota_gate
{
public:
    /// `deliver` is called with verdicts that were pending, never from within a call of `ask` or
    /// `give_back`.
    quota_exchange(gateway_context& context,
                   std::function<void(late_quota_verdict const&)> deliver);

    quota_answer ask(request_id request, team_settings const& team, time_point now) override;
    void give_back(request_id request, team_settings const& team, time_point now) override;

    void receive(event const& new_event);
    void write_metrics(std::string& out) const;

private:
    /// Requests of a team by verdict, where the team has a label in the metrics.
    struct team_counters
    {
        std::uint64_t asked = 0;
        std::uint64_t over_quota = 0; ///< Refused at once; late verdicts count only in the total.
        std::uint64_t over_quota_before = 0;
        bool is_over_quota = false;
    };

    void apply_document(routing_document const& document);
    void apply_members(std::vector<member_view> const& members);
    void handle_message(quota_message_received const& received);
    void answer(address const& to, wire::quota_questions const& questions);
    void take_grants(wire::quota_grants const& grants);
    /// Sends and delivers what the last call has made ready, soon.
    void schedule_output();
    void send_questions();
    void deliver_verdicts();
    void tick();
    void count(team_settings const& team, quota_answer const& answer);
    /// Logs which teams have begun or ceased to be over their quota here.
    void log_teams_over_quota();

    gateway_context& context_;
    std::function<void(late_quota_verdict const&)> deliver_;
    logger log_{"quotas"};
    team_quotas quotas_;
    timer tick_timer_;
    timer question_timer_;
    timer log_timer_;
    bool questions_scheduled_ = false;
    bool verdicts_scheduled_ = false;
    std::map<team_name, team_counters> counters_by_team_;
};

} // namespace burdockstep::gateway
