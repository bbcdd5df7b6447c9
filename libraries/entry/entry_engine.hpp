/// Decides what happens to each request at one entry.
#pragma once

#include "libraries/configuration_sync/configuration_follower.hpp"
#include "libraries/core/random.hpp"
#include "libraries/dispatch/upstream_pool.hpp"
#include "libraries/entry/entry_messages.hpp"
#include "libraries/lookup/lookup_table.hpp"
#include "libraries/membership/leaving_registry.hpp"
#include "libraries/requests/request_stage.hpp"
#include "libraries/requests/retry_budget.hpp"
#include "libraries/steering/shift_limiter.hpp"
#include "libraries/tickets/redeemed_ticket_table.hpp"
#include "libraries/wire/messages.hpp"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace burdockstep {

/// Who this entry is, and its limits.
struct entry_engine_options
{
    instance_name instance;
    region_name region;
    place_name place;
    incarnation_id incarnation;
    redeemed_ticket_table_options tickets;
    upstream_pool_options pools;
    /// Sends of one request to upstreams or peers, the first included.
    unsigned max_sends = 4;
    double retries_per_request = 0.1;
    double max_saved_retries = 50;
    /// A pool report older than this says nothing of the room that is left.
    duration max_report_age = std::chrono::seconds(3);
    std::size_t max_calls = 8'192;
    /// A send of idempotent work without an answer's head is abandoned and sent again after this
    /// multiple of the upstream's mean latency, within the two limits below.
    double answer_head_timeout_factor = 8;
    duration min_answer_head_timeout = std::chrono::milliseconds(250);
    /// Part of the request's time left, so that a second send still has a chance.
    double max_answer_head_timeout_fraction = 0.4;
};

/// Numbers for operators.
struct entry_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t ticket_conflicts = 0;
    std::uint64_t retained_answers = 0;
    std::uint64_t retries = 0;
    std::uint64_t abandoned_sends = 0; ///< Sends that were silent for too long.
    std::uint64_t forwarded_to_owner = 0;
    std::uint64_t spilled = 0;
    std::uint64_t refused_by_shift_cap = 0; ///< Moves that the shift cap forbade.
    std::uint64_t truncated_answers = 0;
};

/// Holds the ledger, the pools and the calls of one entry. It sends nothing itself: each input
/// returns the commands that its owner carries out.
class entry_engine
{
public:
    using commands = std::vector<entry_command>;

    entry_engine(entry_engine_options options, random_source& random, time_point now);

    /// A new configuration is in force.
    commands apply_configuration(std::shared_ptr<configuration_in_force const> new_configuration,
                                 time_point now);
    void update_members(std::vector<member_view> members);
    void record_pool_report(wire::pool_report const& report, time_point now);
    /// An upstream leaves, by its own word, the list's, or a peer's. Returns true when it's news.
    bool mark_leaving(upstream_name const& upstream, time_point sign_time, time_point now);

    commands handle_arrival(call_arrival arrival, time_point now);
    /// The head of a send's answer has arrived.
    commands handle_answer_head(request_id id, answer_head_kind kind, time_point now);
    /// A send has ended. `answer` is what a repeat of the ticket may get.
    commands handle_send_end(request_id id, send_end end, std::optional<retained_answer> answer,
                             time_point now);
    commands handle_caller_gone(request_id id, time_point now);
    commands tick(time_point now);

    /// The reports to send to the other owners of the same services: each with its receivers.
    struct outgoing_pool_report
    {
        wire::pool_report report;
        std::vector<address> receivers;
    };
    std::vector<outgoing_pool_report> make_pool_reports() const;

    lookup_table const& lookups() const { return lookups_; }
    std::shared_ptr<configuration_in_force const> configuration() const { return configuration_; }
    epoch_number current_epoch() const { return redeemed_tickets_.current_epoch(); }
    std::size_t calls_in_progress() const { return calls_.size(); }
    entry_counters const& counters() const { return counters_; }
    std::map<service_name, upstream_pool> const& pools() const { return pools_; }
    redeemed_ticket_table const& redeemed_tickets() const { return redeemed_tickets_; }
    /// What the shift caps allow now: for each service, work moved away from and to this region.
    struct shift_governors
    {
        shift_limiter outward;
        shift_limiter inward;
    };
    std::map<service_name, shift_governors> const& shifts() const
    {
        return shift_governors_by_service_;
    }
    /// Leaving upstreams with the time of the last sign.
    std::map<upstream_name, time_point> const& leaving() const
    {
        return leaving_upstreams_.signs();
    }

private:
    enum class call_location
    {
        waiting,             ///< In the pool's queue, or about to be placed.
        sent_to_upstream,    ///< Sent to an upstream.
        sent_to_peer,        ///< Sent to another entry.
        waiting_for_original ///< A repeat that waits for the ticket's first request.
    };

    struct call_state
    {
        call_arrival arrival;
        time_point deadline;
        bool idempotent = false;
        std::variant<waiting_request, dispatched_request> stage = waiting_request::accept();
        call_location location = call_location::waiting;
        upstream_name upstream;
        address sent_to; ///< Of that upstream; the document may have dropped it since.
        std::vector<upstream_name> tried_upstreams;
        std::set<incarnation_id> tried_peers;
        unsigned sends = 0;
        time_point answer_head_deadline;    ///< When a send without an answer's head is abandoned.
        bool counted = false;               ///< By the shift governors.
        std::optional<pool_key> spilled_to; ///< While it is at that pool's owner.
        time_point spilled_at;
        bool answer_started = false;
        bool caller_gone = false;
        std::optional<answer_head_kind> head;
    };

    struct received_report
    {
        wire::pool_report report;
        time_point at;
        std::uint32_t spilled_since = 0; ///< Spilled there after the report, and not ended yet.
    };

    void route_call(call_state& call, time_point now, commands& out);
    bool forward_to_pool_owner(call_state& call, time_point now, commands& out);
    void submit_to_local_pool(call_state& call, time_point now, commands& out);
    bool spill(call_state& call, time_point now, commands& out);
    bool admit_under_shift_cap(call_state& call, time_point now);
    bool belongs_to_other_region(call_state const& call) const;
    void update_shift_limits(time_point now);
    std::optional<pool_key> choose_spill_target(call_state const& call, time_point now) const;
    void send_to_peer(call_state& call, member_view const& peer, call_route route, time_point now,
                      commands& out);
    void forward_to_ticket_entry(call_state& call, time_point now, commands& out);
    void handle_duplicate(call_state& call, redemption_result const& redemption, commands& out);
    void apply_pool_commands(std::vector<pool_command> const& pool_commands, time_point now,
                             commands& out);
    void start_send(call_state& call, upstream_name const& upstream, time_point now, commands& out);
    void retry_or_refuse(call_state& call, not_run_evidence const& evidence, time_point now,
                         commands& out);
    void handle_lost_send(call_state& call, time_point now, commands& out);
    void end_refused(call_state& call, refusal_outcome const& outcome, commands& out);
    void end_not_run(call_state& call, not_run_outcome const& outcome, commands& out);
    void refuse_waiting(call_state& call, refusal_reason reason, commands& out);
    void end_unknown(call_state& call, refusal_reason reason, commands& out);
    void record_outcome(call_state const& call, ticketed_request_state state,
                        std::optional<retained_answer> answer, commands& out);
    void uncount_spill(call_state& call);
    void release_slot(call_state const& call, pool_result send_result, time_point now,
                      commands& out);
    void erase(request_id id);
    void rebuild_lookups();
    void update_leaving_upstreams(time_point now);
    time_point choose_answer_head_deadline(call_state const& call, time_point now) const;
    void abandon_sends_without_answer(time_point now, commands& out);
    ticket next_ticket();
    bool owns_pool(service_name const& service) const;
    std::uint32_t spill_limit(service_name const& service) const;

    entry_engine_options options_;
    random_source& random_;
    redeemed_ticket_table redeemed_tickets_;
    retry_budget retry_budget_;
    std::shared_ptr<configuration_in_force const> configuration_;
    std::vector<member_view> members_;
    lookup_table lookups_;
    std::map<service_name, upstream_pool> pools_;
    std::map<service_name, shift_governors> shift_governors_by_service_;
    /// Services whose upstreams in this region all drain: their work moves away under the cap.
    std::set<service_name> draining_services_;
    std::map<upstream_name, upstream> upstreams_;
    std::map<pool_key, received_report> pool_reports_;
    leaving_registry leaving_upstreams_;
    std::unordered_map<request_id, call_state> calls_;
    std::multimap<time_point, request_id> answer_head_deadlines_; ///< Sends to look at, by time.
    std::set<request_id>
        waiting_duplicates_; ///< Calls that wait for the first request of their ticket.
    entry_counters counters_;
};

} // namespace burdockstep
