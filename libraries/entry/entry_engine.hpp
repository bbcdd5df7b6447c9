/// Routes each request at one entry and determines its outcome.
#pragma once

#include "libraries/configuration_sync/configuration_follower.hpp"
#include "libraries/core/random.hpp"
#include "libraries/dispatch/upstream_pool.hpp"
#include "libraries/entry/entry_messages.hpp"
#include "libraries/lookup/lookup_table.hpp"
#include "libraries/membership/leaving_upstream_tracker.hpp"
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

/// Identity and limits of an entry.
struct entry_engine_options
{
    instance_name instance;
    region_name region;
    place_name place;
    incarnation_id incarnation;
    redeemed_ticket_table_options tickets;
    upstream_pool_options pools;
    /// Maximum number of sends of one request to upstreams or peers, including the first.
    unsigned max_sends = 4;
    /// Long-term ratio of retries to requests.
    double retries_per_request = 0.1;
    /// Size of the largest burst of retries.
    double max_saved_retries = 50;
    /// Age beyond which a pool report is ignored when estimating free slots.
    duration max_report_age = std::chrono::seconds(3);
    /// Maximum number of calls in progress; further calls are refused.
    std::size_t max_calls = 8'192;
    /// The timeout for the answer head of an idempotent request, after which it is sent again, is
    /// this multiple of the upstream's mean latency, within the two limits below.
    double answer_head_timeout_factor = 8;
    /// Lower limit of the timeout, unless the upper limit is shorter.
    duration min_answer_head_timeout = std::chrono::milliseconds(250);
    /// Upper limit of the timeout, as a fraction of the time left until the deadline. The rest is
    /// time for a second send.
    double max_answer_head_timeout_fraction = 0.4;
};

/// Counters for the metrics.
struct entry_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;          ///< Calls reported as not run.
    std::uint64_t unknown = 0;          ///< Calls reported with an unknown outcome.
    std::uint64_t ticket_conflicts = 0; ///< Tickets presented again with a different request.
    std::uint64_t retained_answers = 0; ///< Duplicates that received a retained answer.
    std::uint64_t retries = 0;
    std::uint64_t abandoned_sends = 0;      ///< Sends without an answer head in time.
    std::uint64_t forwarded_to_owner = 0;   ///< Calls forwarded to the owner of the pool.
    std::uint64_t spilled = 0;              ///< Sends moved to a pool in another region.
    std::uint64_t refused_by_shift_cap = 0; ///< Moves between regions that the shift cap forbade.
    std::uint64_t truncated_answers = 0;    ///< Answers aborted after their head was forwarded.
};

/// Holds the redeemed tickets, the upstream pools and the calls of one entry. The engine does no
/// I/O: each input returns commands, which its owner executes.
class entry_engine
{
public:
    using commands = std::vector<entry_command>;

    entry_engine(entry_engine_options options, random_source& random, time_point now);

    /// Applies a configuration that has come into force.
    commands apply_configuration(std::shared_ptr<configuration_in_force const> new_configuration,
                                 time_point now);
    /// Replaces the list of entries, from which the owners of pools are derived.
    void update_members(std::vector<member_view> members);
    /// Records the load of a pool in another region, as its owner reports it.
    void record_pool_report(wire::pool_report const& report, time_point now);
    /// Stops new sends to an upstream that is leaving, according to the upstream itself, the
    /// platform's list or a peer. Returns true when the upstream was not known to be leaving.
    bool mark_leaving(upstream_name const& upstream, time_point sign_time, time_point now);

    /// Starts a call for a received request.
    commands handle_arrival(call_arrival arrival, time_point now);
    /// Handles the head of an answer to a send.
    commands handle_answer_head(request_id id, answer_head_kind kind, time_point now);
    /// Handles the end of a send. `answer` is retained for duplicates of the request.
    commands handle_send_end(request_id id, send_end end, std::optional<retained_answer> answer,
                             time_point now);
    /// Handles the disconnection of a caller.
    commands handle_caller_gone(request_id id, time_point now);
    /// Handles the deadlines and timeouts that have passed.
    commands tick(time_point now);

    /// A report on a pool that this entry owns, and the entries that own the same service's pools
    /// in other regions.
    struct outgoing_pool_report
    {
        wire::pool_report report;
        std::vector<address> receivers;
    };
    /// Creates a report for each pool that this entry owns.
    std::vector<outgoing_pool_report> make_pool_reports() const;

    lookup_table const& lookups() const { return lookups_; }
    std::shared_ptr<configuration_in_force const> configuration() const { return configuration_; }
    epoch_number current_epoch() const { return redeemed_tickets_.current_epoch(); }
    std::size_t calls_in_progress() const { return calls_.size(); }
    entry_counters const& counters() const { return counters_; }
    std::map<service_name, upstream_pool> const& pools() const { return pools_; }
    redeemed_ticket_table const& redeemed_tickets() const { return redeemed_tickets_; }
    /// Governors of one service, which keep the traffic that moves out of and into this region
    /// under the shift cap.
    struct shift_governors
    {
        shift_limiter outward;
        shift_limiter inward;
    };
    /// The shift governors of each service.
    std::map<service_name, shift_governors> const& shifts() const
    {
        return shift_governors_by_service_;
    }
    /// Leaving upstreams, each with the last report of it.
    std::map<upstream_name, leaving_report> const& leaving() const
    {
        return leaving_upstreams_.last_reports();
    }

private:
    /// Where a call is being processed.
    enum class call_location
    {
        waiting,             ///< In the pool's queue, or about to be routed.
        sent_to_upstream,    ///< Sent to an upstream.
        sent_to_peer,        ///< Sent to a peer entry.
        waiting_for_original ///< Duplicate of a request in flight; it waits for that outcome.
    };

    struct call_state
    {
        call_arrival arrival;
        time_point deadline;
        bool idempotent = false;
        std::variant<waiting_request, dispatched_request> stage = waiting_request::accept();
        call_location location = call_location::waiting;
        upstream_name upstream;
        address sent_to; ///< Address of `upstream`, which may have left the configuration since.
        std::vector<upstream_name> tried_upstreams;
        std::set<incarnation_id> tried_peers;
        unsigned sends = 0;
        time_point answer_head_deadline; ///< Time to abandon a send without an answer head.
        bool counted = false;            ///< Whether the shift governors have counted the call.
        /// Pool that the call is spilled to, until the send ends.
        std::optional<pool_key> spilled_to;
        time_point spilled_at;
        bool answer_started = false; ///< The answer's head has been forwarded to the caller.
        bool caller_gone = false;
        /// Whether the service answered, the request was not run or its outcome is unknown,
        /// according to the head of the answer to the latest send. Empty until that head arrives.
        std::optional<answer_head_kind> head;
    };

    /// The latest load report on a pool of upstreams in another region, sent by the entry that owns
    /// that pool.
    struct received_report
    {
        wire::pool_report report;
        time_point at; ///< Time of receipt.
        /// Calls spilled to the pool since the report and still in progress.
        std::uint32_t spilled_since = 0;
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
    /// Services whose upstreams in this region all drain: their traffic moves to other regions, as
    /// fast as the shift cap permits.
    std::set<service_name> draining_services_;
    std::map<upstream_name, upstream> upstreams_;
    std::map<pool_key, received_report> pool_reports_;
    leaving_upstream_tracker leaving_upstreams_;
    std::unordered_map<request_id, call_state> calls_;
    /// Idempotent sends by the deadline of their answer head; those that are over are skipped.
    std::multimap<time_point, request_id> answer_head_deadlines_;
    /// Calls that wait for the outcome of the original request of their ticket.
    std::set<request_id> waiting_duplicates_;
    entry_counters counters_;
};

} // namespace burdockstep
