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
#include "libraries/tickets/ticket_ledger.hpp"
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
    ticket_ledger_options tickets;
    upstream_pool_options pools;
    /// Sends of one request to upstreams or peers, the first included.
    unsigned most_sends = 4;
    double retries_per_request = 0.1;
    double most_retries_saved = 50;
    /// A pool report older than this says nothing of the room that is left.
    duration oldest_report = std::chrono::seconds(3);
    std::size_t most_calls = 8'192;
    /// A send of idempotent work without an answer's head is abandoned and sent again after this
    /// multiple of the upstream's mean latency, within the two limits below.
    double silence_factor = 8;
    duration shortest_silence = std::chrono::milliseconds(250);
    /// Part of the request's time left, so that a second send still has a chance.
    double longest_silence_part = 0.4;
};

/// Numbers for operators.
struct entry_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t kept_answers = 0;
    std::uint64_t retries = 0;
    std::uint64_t abandoned = 0; ///< Sends that were silent for too long.
    std::uint64_t passed_to_owner = 0;
    std::uint64_t spilled = 0;
    std::uint64_t shift_refused = 0; ///< Moves that the shift cap forbade.
    std::uint64_t cut = 0;
};

/// Holds the ledger, the pools and the calls of one entry. It sends nothing itself: each input
/// returns the commands that its owner carries out.
class entry_engine
{
public:
    using commands = std::vector<entry_command>;

    entry_engine(entry_engine_options options, random_source& random, time_point now);

    /// A new configuration is in force.
    commands take_configuration(std::shared_ptr<configuration_in_force const> adopted,
                                time_point now);
    void take_members(std::vector<member_view> members);
    void take_pool_report(wire::pool_report const& report, time_point now);
    /// An upstream leaves, by its own word, the list's, or a peer's. Returns true when it's news.
    bool take_leaving(upstream_name const& upstream, time_point sign, time_point now);

    commands arrive(call_arrival arrival, time_point now);
    /// The head of a send's answer has arrived.
    commands take_head(request_id id, head_kind kind, time_point now);
    /// A send has ended. `answer` is what a repeat of the ticket may get.
    commands take_end(request_id id, send_end end, std::optional<kept_answer> answer,
                      time_point now);
    commands take_caller_gone(request_id id, time_point now);
    commands tick(time_point now);

    /// The reports to send to the other owners of the same services: each with its receivers.
    struct outgoing_report
    {
        wire::pool_report report;
        std::vector<address> receivers;
    };
    std::vector<outgoing_report> make_reports() const;

    lookup_table const& lookups() const { return lookups_; }
    std::shared_ptr<configuration_in_force const> configuration() const { return configuration_; }
    epoch_number present_epoch() const { return ledger_.present_epoch(); }
    std::size_t calls_in_progress() const { return calls_.size(); }
    entry_counters const& counters() const { return counters_; }
    std::map<service_name, upstream_pool> const& pools() const { return pools_; }
    ticket_ledger const& ledger() const { return ledger_; }
    /// What the shift caps allow now: for each service, work moved away from and to this region.
    struct shift_governors
    {
        shift_limiter outward;
        shift_limiter inward;
    };
    std::map<service_name, shift_governors> const& shifts() const { return shifts_; }
    /// Leaving upstreams with the time of the last sign.
    std::map<upstream_name, time_point> const& leaving() const { return leaving_.signs(); }

private:
    enum class call_position
    {
        waiting,          ///< In the pool's queue, or about to be placed.
        at_upstream,      ///< Sent to an upstream.
        at_peer,          ///< Sent to another entry.
        waiting_for_first ///< A repeat that waits for the ticket's first request.
    };

    struct call
    {
        call_arrival arrival;
        time_point deadline;
        bool idempotent = false;
        std::variant<waiting_request, dispatched_request> stage = waiting_request::accept();
        call_position position = call_position::waiting;
        upstream_name upstream;
        address sent_to; ///< Of that upstream; the document may have dropped it since.
        std::vector<upstream_name> tried_upstreams;
        std::set<incarnation_id> tried_peers;
        unsigned sends = 0;
        time_point silent_after;            ///< When a send without an answer's head is abandoned.
        bool counted = false;               ///< By the shift governors.
        std::optional<pool_key> spilled_to; ///< While it is at that pool's owner.
        time_point spilled_at;
        bool answering = false;
        bool caller_gone = false;
        std::optional<head_kind> head;
    };

    struct heard_report
    {
        wire::pool_report report;
        time_point at;
        std::uint32_t sent_since = 0; ///< Spilled there after the report, and not ended yet.
    };

    void route_call(call& which, time_point now, commands& out);
    bool pass_to_owner(call& which, time_point now, commands& out);
    void queue_locally(call& which, time_point now, commands& out);
    bool spill(call& which, time_point now, commands& out);
    bool may_take_in(call& which, time_point now);
    bool is_foreign(call const& which) const;
    void set_shift_limits(time_point now);
    std::optional<pool_key> choose_spill_target(call const& which, time_point now) const;
    void send_to_peer(call& which, member_view const& peer, call_route route, time_point now,
                      commands& out);
    void pass_to_ticket_holder(call& which, time_point now, commands& out);
    void judge_repeat(call& which, ticket_finding const& finding, commands& out);
    void apply(std::vector<pool_command> const& pool_commands, time_point now, commands& out);
    void start_send(call& which, upstream_name const& upstream, time_point now, commands& out);
    void take_refusal(call& which, not_run_evidence const& evidence, time_point now, commands& out);
    void take_loss(call& which, time_point now, commands& out);
    void end_refused(call& which, refusal_outcome const& outcome, commands& out);
    void end_not_run(call& which, not_run_outcome const& outcome, commands& out);
    void refuse_waiting(call& which, refusal_reason reason, commands& out);
    void end_unknown(call& which, refusal_reason reason, commands& out);
    void settle(call const& which, spent_state state, std::optional<kept_answer> answer,
                commands& out);
    void note_spill_ended(call& which);
    void release_slot(call const& which, pool_result ended, time_point now, commands& out);
    void erase(request_id id);
    void rebuild_lookups();
    void apply_leaving(time_point now);
    time_point silence_limit(call const& which, time_point now) const;
    void abandon_silent(time_point now, commands& out);
    ticket next_ticket();
    bool owns_pool(service_name const& service) const;
    std::uint32_t spill_limit(service_name const& service) const;

    entry_engine_options options_;
    random_source& random_;
    ticket_ledger ledger_;
    retry_budget retries_;
    std::shared_ptr<configuration_in_force const> configuration_;
    std::vector<member_view> members_;
    lookup_table lookups_;
    std::map<service_name, upstream_pool> pools_;
    std::map<service_name, shift_governors> shifts_;
    /// Services whose upstreams in this region all drain: their work moves away under the cap.
    std::set<service_name> draining_pools_;
    std::map<upstream_name, upstream> upstreams_;
    std::map<pool_key, heard_report> reports_;
    leaving_registry leaving_;
    std::unordered_map<request_id, call> calls_;
    std::multimap<time_point, request_id> silence_; ///< Sends to look at, by time.
    std::set<request_id> repeats_; ///< Calls that wait for the first request of their ticket.
    entry_counters counters_;
};

} // namespace burdockstep
