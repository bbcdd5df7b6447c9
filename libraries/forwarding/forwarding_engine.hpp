/// The forwarding engine: decides what happens to each plain HTTP request of a caller.
#pragma once

#include "libraries/core/random.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/dispatch/reported_slot_usage.hpp"
#include "libraries/dispatch/transfer_size.hpp"
#include "libraries/forwarding/admission.hpp"
#include "libraries/forwarding/cold_sender_choice.hpp"
#include "libraries/forwarding/forwarding_messages.hpp"
#include "libraries/forwarding/stop_admission.hpp"
#include "libraries/forwarding/upstream_tracker.hpp"
#include "libraries/requests/request_stage.hpp"
#include "libraries/requests/windowed_retry_budget.hpp"
#include "libraries/routing/route_table.hpp"
#include "libraries/steering/outbound_fraction_limiter.hpp"
#include "libraries/steering/spill_controller.hpp"
#include "libraries/teams/key_trust.hpp"
#include "libraries/teams/quota_gate.hpp"
#include "libraries/teams/team_directory.hpp"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace burdockstep {

/// Identity and limits of this entry.
struct forwarding_options
{
    instance_name instance;
    place_name place;
    region_name region;
    upstream_tracker_options tracker_options;
    cold_sender_options cold_sender;
    admission_options admission;
    stop_admission_options stop_admission;
    outbound_fraction_limiter_options region_shift_limits;
    retry_limits retry_budget;
    key_trust_options key_trust;
    std::size_t max_requests_under_way = 4'096;
    /// Round-trip time to another region, until one has been measured by connecting.
    duration default_region_round_trip = std::chrono::milliseconds(30);
    /// Round-trip time to another place of this region, until one has been measured.
    duration default_place_round_trip = std::chrono::milliseconds(10);
    /// An upstream that itself answers that the deadline has passed is expected to do so within
    /// this time, plus network delay.
    duration deadline_grace = std::chrono::milliseconds(40);
    /// A free slot is left to the entries with precedence over this one for this time each, because
    /// it takes a few milliseconds until the report of a taken slot arrives here.
    duration slot_precedence_delay = std::chrono::milliseconds(7);
    /// An upstream that this entry learns of within this time after its first ones may have run for
    /// long. One that comes later has just started, and is paced.
    duration upstream_discovery_time = std::chrono::seconds(3);
    /// Changes of upstreams' paces that are kept until they are taken, for the log.
    std::size_t max_pace_changes = 64;
    /// An entry that knows no other entry this long after its first request assumes that there is
    /// none.
    duration entry_discovery_timeout = std::chrono::seconds(3);
    /// Non-idempotent requests don't reuse a kept connection that has been idle for longer: the
    /// upstream may have closed it.
    duration non_idempotent_idle_limit = std::chrono::milliseconds(4'000);
    /// Retry-After of requests that are refused during a planned stop: another entry takes them.
    duration stopping_retry_delay = std::chrono::milliseconds(50);
};

/// Totals since the start, for metrics.
struct forwarding_counters
{
    std::uint64_t arrived = 0;         ///< Requests received.
    std::uint64_t answered = 0;        ///< Requests that an upstream answered.
    std::uint64_t refused = 0;         ///< Requests answered with 503 by this entry.
    std::uint64_t failed = 0;          ///< Requests answered with another error by this entry.
    std::uint64_t sends = 0;           ///< Sends to upstreams, first and further ones.
    std::uint64_t further_sends = 0;   ///< Sends of a request after its first one.
    std::uint64_t retries_denied = 0;  ///< Further sends that the retry budget didn't allow.
    std::uint64_t left_region = 0;     ///< Requests first sent to another region.
    std::uint64_t callers_gone = 0;    ///< Callers that disconnected before their answer.
    std::uint64_t probes = 0;          ///< Health probes sent.
    std::uint64_t leaving_notices = 0; ///< Upstreams whose own answer first told that they leave.
    std::uint64_t pause_notices = 0;   ///< Answers in which an upstream asked for a pause.
    std::uint64_t sends_of_recent_objects = 0; ///< Sends of an object that the upstream had lately.
    std::uint64_t held_back_by_pace = 0; ///< Times an upstream was passed over for its pace alone.
    std::array<std::uint64_t, send_result_count> send_ends{}; ///< Ends of sends by `send_result`.
    std::array<std::uint64_t, refusal_count> refusals{};      ///< Own answers by `refusal`.
    /// Bytes of the bodies of answered requests and their answers, by `upstream_proximity`.
    std::array<std::uint64_t, upstream_proximity_count> body_bytes{};
};

/// Median service times of one service at this entry's upstreams; zero while unknown.
struct service_times
{
    service_name service;
    duration recent_object{}; ///< Of requests for an object that the upstream was recently sent.
    duration new_object{};    ///< Of other requests.
};

/// A change of the pace of one upstream, for its log line.
struct upstream_pace_change
{
    upstream_name upstream;
    pace_change change;
};

/// Data of a finished request for its log line.
struct request_summary
{
    std::string caller_id;
    std::string route;
    service_name service;
    upstream_name upstream; ///< To which the request was last sent.
    unsigned sends = 0;
    duration hold_time{};  ///< From arrival to the first send, or to the end if never sent.
    duration total_time{}; ///< From arrival to the end.
    configuration_version version;
};

/// A request under way that its caller still waits for.
struct request_under_way
{
    request_id id;
    std::string caller_id;
    std::string route;
    bool at_upstream = false; ///< Otherwise it waits for a slot.
    upstream_name upstream;   ///< To which the request was last sent.
    duration age{};           ///< Since its arrival.
    duration time_left{};     ///< Until its latest end.
};

/// State machine for the requests under way. It does no I/O itself: each input returns the
/// commands that the calling code has to carry out.
class forwarding_engine
{
public:
    using commands = std::vector<forwarding_command>;

    forwarding_engine(forwarding_options options, random_source& random);

    /// Applies a routing document, unless it is no newer than the current one.
    commands update_document(std::shared_ptr<routing_document const> document, time_point now);
    /// Sets the known upstreams. Call it whenever the upstream registry has changed.
    commands update_upstreams(std::map<upstream_name, known_upstream> const& upstreams,
                              time_point now);
    /// Sets the live entries, including this one, and their regions.
    void update_entries(std::map<instance_name, region_name> const& entries);
    /// Takes another entry's report of its requests at the upstreams and of its spill fractions.
    commands handle_slot_report(wire::slot_report const& report, time_point now);
    /// Applies the sums of all entries of another place.
    commands handle_place_report(wire::place_slot_report const& report, time_point now);
    /// Sends no requests before `resume` or the given time, because the known state may be
    /// outdated.
    void suspend(time_point until) { suspended_until_ = until; }
    commands resume(time_point now);
    /// While routes may be missing here, a request without a route is refused with 503 instead of
    /// 404, so that its caller retries.
    void set_routes_incomplete(bool incomplete) { routes_incomplete_ = incomplete; }
    /// Sets what counts the requests of teams, which must outlive the engine. Without it quotas
    /// aren't enforced.
    void set_quota_gate(quota_gate& gate) { quota_gate_ = &gate; }
    /// Records that the keys of the current document were the newest ones at `fresh_as_of`.
    void confirm_keys(time_point fresh_as_of) { key_trust_.confirm(fresh_as_of); }
    /// Acts on no key until keys are confirmed anew.
    void forget_key_confirmation() { key_trust_.forget(); }
    /// True if this entry acts on keys now.
    bool acts_on_keys(time_point now) const { return key_trust_.may_act_on_keys(now); }
    /// True if the request may still be sent. Ask right before its bytes are handed over: the
    /// process may have paused since the command was given. If not, report `not_permitted`.
    bool may_still_send(send_request const& command, time_point now) const
    {
        bool const has_key = command.caller && command.caller->team != team_name();
        return !has_key || key_trust_.may_act_on_keys(now);
    }

    /// Begins a planned stop of the process, which ends at `process_end`. From now on a request is
    /// taken and sent only if its deadline lies before that; waiting ones without that are refused.
    commands begin_stop(time_point process_end, time_point now);
    /// Refuses all new requests from now on, as the last part of a planned stop.
    void refuse_new_requests() { stop_admission_.refuse_new_requests(); }

    /// Answers all requests under way as the process ends, so that answers that are ready behind
    /// them on their connections get out too.
    commands end_all_requests(time_point now);

    /// Takes a new request: sends, holds or refuses it.
    commands submit(request_arrival arrival, time_point now);
    /// Takes the verdict on a request for which the quota gate answered `pending`.
    commands handle_quota_answer(request_id id, quota_answer const& answer, time_point now);
    commands handle_send_end(request_id id, send_end_report const& report, time_point now);
    /// Takes the report of a probe that was sent to this incarnation of the upstream.
    commands handle_probe_report(upstream_name const& upstream, upstream_incarnation incarnation,
                                 probe_report const& report, time_point now);
    /// Takes what an upstream said of itself in any answer on a connection on which a request or
    /// probe was sent to this incarnation. Call it before the end of that send is reported. A
    /// notice of an earlier incarnation changes nothing for the present one.
    commands handle_notice(upstream_name const& upstream, upstream_incarnation incarnation,
                           upstream_notice const& notice, time_point now);
    commands handle_caller_disconnect(request_id id, time_point now);
    /// Runs what is due: deadlines, waiting requests, health probes and periodic maintenance.
    commands tick(time_point now);
    /// When a request next needs `tick`; nothing if no request is under way.
    std::optional<time_point> next_tick() const;
    /// Records how long it took to connect to an upstream, which is one round trip.
    void record_round_trip(upstream_name const& upstream, duration measured);

    /// This entry's counts of requests at the upstreams whose count changed since the last call.
    std::vector<wire::upstream_request_count> take_changed_counts();
    bool has_changed_counts() const { return !changed_counts_.empty(); }
    /// This entry's counts for all upstreams at which it has requests.
    std::vector<wire::upstream_request_count> all_counts() const;
    /// For each service, the fraction of its objects that this entry sends to other regions.
    std::vector<wire::service_spill_fraction> spill_fractions() const;

    /// Mean age of the other entries' slot reports.
    duration mean_report_age(time_point now) const { return peer_counts_.mean_report_age(now); }

    std::size_t requests_under_way() const { return requests_.size(); }
    /// The oldest requests under way that their callers still wait for, the oldest first.
    std::vector<request_under_way> oldest_requests_under_way(std::size_t max_requests,
                                                             time_point now) const;
    forwarding_counters const& counters() const { return counters_; }
    /// Number of upstreams whose pace is limited now.
    std::size_t paced_upstreams() const;
    /// Changes of upstreams' paces since the last call, at most `max_pace_changes`.
    std::vector<upstream_pace_change> take_pace_changes();
    std::vector<service_times> median_service_times() const;
    /// The request that finished last.
    request_summary const& last_finished() const { return last_finished_; }
    bool has_document() const { return routes_ != nullptr; }
    configuration_version version() const;
    std::set<service_name> services() const;

private:
    struct pending_request
    {
        request_arrival arrival;
        std::shared_ptr<routing_document const> document; ///< Owns `matched_route`.
        route const* matched_route = nullptr;
        team_settings const* team = nullptr; ///< Null if the caller didn't identify itself.
        service_name service;
        bool awaits_quota = false;      ///< The quota gate has been asked and hasn't answered.
        bool holds_quota_token = false; ///< No upstream has run it since the token was taken.
        duration quota_retry_after{};   ///< If refused as over quota: when to come back.
        time_point arrived;
        time_point deadline;   ///< The caller's or the route's, whichever is earlier.
        time_point hold_until; ///< When the request is refused if no slot is free by then.
        std::variant<waiting_request, dispatched_request> stage = waiting_request::accept();
        bool at_upstream = false;
        /// The caller has been answered or is gone; an upstream's answer will be discarded.
        bool discards_answer = false;
        upstream_name upstream;
        upstream_incarnation incarnation; ///< Of `upstream`, when the request was sent.
        std::vector<upstream_name> tried_upstreams;
        unsigned sends = 0;
        bool object_is_recent = false; ///< This upstream was recently sent the same object.
        time_point sent_at;
        duration hold_time{}; ///< From arrival to the first send.
        bool counted_in_region_share = false;
        time_point wake_at; ///< When `tick` next handles the request.
    };

    struct service_pool
    {
        /// The service's upstreams that haven't been removed. `trackers_` owns them.
        std::vector<upstream_tracker*> upstreams;
        windowed_retry_budget retry_budget;
        /// Service time for objects that the upstream was recently sent.
        service_time_estimate recent_object_service_time;
        /// Service time for other objects.
        service_time_estimate new_object_service_time;
        spill_controller spill{{}};
        transfer_size transferred;
    };

    struct placement_choice
    {
        upstream_tracker* tracker = nullptr;
        double cost_ms = 0;
        bool left_region = false;
    };

    /// A service's upstreams as seen by one request.
    struct pool_summary
    {
        /// The upstream of this region with the lowest affinity cost for the request.
        upstream_tracker const* preferred_in_region = nullptr;
        /// The upstream of the other regions with the lowest affinity cost for the request.
        upstream_tracker const* preferred_elsewhere = nullptr;
        double free_fraction_in_region = 0; ///< Free fraction of this region's slots.
    };

    // Callers and teams (forwarding_callers.cpp).
    /// Sets the request's team. Returns why the request must be refused, if it must.
    std::optional<refusal> identify_caller(pending_request& request, time_point now) const;
    /// True if the request's key is still known well enough to act on.
    bool may_act_on_key(pending_request const& request, time_point now) const;
    /// Refuses the waiting requests whose keys this entry no longer acts on, so that their callers
    /// go to another entry at once.
    void refuse_unconfirmed_waiting(time_point now, commands& out);
    /// Refuses a request whose send wasn't begun.
    void handle_unbegun_send(pending_request& request, refusal reason, time_point now,
                             commands& out);
    /// Asks the quota gate. Returns false if the request has to wait for the verdict or was
    /// refused.
    bool take_quota_token(pending_request& request, time_point now, commands& out);
    void refuse_without_token(pending_request& request, quota_answer const& answer, time_point now,
                              commands& out);
    /// Returns the token, or withdraws the question, of a request that no upstream has run.
    void return_quota_token(pending_request& request, time_point now);
    std::optional<caller_identity> identity_of_caller(pending_request const& request) const;
    /// Order in which waiting requests are sent, the lowest first.
    static std::pair<unsigned, unsigned> urgency_of(pending_request const& request);

    /// Sends, holds or refuses a request that may be sent.
    void place_new_request(pending_request& request, time_point now, commands& out);

    // Placement (forwarding_placement.cpp).
    /// Sends the request if an upstream may take it now, and returns whether it was sent.
    bool try_place(pending_request& request, time_point now, commands& out);
    std::optional<placement_choice> choose_upstream(pending_request const& request, time_point now);
    /// Estimated cost, in milliseconds, of sending the request to an upstream; nothing if the
    /// upstream may not get it now.
    std::optional<double> placement_cost(pending_request const& request, upstream_tracker& tracker,
                                         time_point now);
    /// True if this entry may use one of the `free` slots now. Other entries may have precedence.
    bool may_take_slot(upstream_tracker& tracker, unsigned free, time_point now) const;
    /// Updates the number of entries of this region with precedence over this one for a free slot
    /// of the upstream, after entries were added and others have gone.
    void update_slot_precedence(upstream_tracker& tracker, std::vector<instance_name> const& added,
                                std::vector<instance_name> const& gone) const;
    /// Tries to send the service's waiting requests, the most urgent ones first.
    void place_waiting(service_name const& service, time_point now, commands& out);
    void place_all_waiting(time_point now, commands& out);
    duration expected_round_trip(upstream_tracker const& tracker) const;
    duration expected_service_time(pending_request const& request, bool object_is_recent) const;
    void start_send(pending_request& request, placement_choice const& chosen, time_point now,
                    commands& out);
    bool may_send_to(upstream_tracker& tracker, double cold_rate, time_point now);
    void update_cold_senders(time_point now);

    // Pace of upstreams (forwarding_pace.cpp).
    /// Takes the registry's current data of an upstream that was known before, or begins the pace
    /// of a new one that has just started.
    void update_tracker(upstream_tracker& tracker, known_upstream const& known, bool is_new,
                        time_point now);
    /// Has `update_paces` update the upstream's pace from now on if it isn't steady.
    void watch_pace(upstream_tracker const& tracker);
    void update_paces(time_point now);
    /// Records that a paced upstream has room. Without this, entries that lack precedence would
    /// rarely send to it: its limit is low, and they wait until a free slot has been seen for some
    /// milliseconds.
    void note_free_slots(upstream_tracker& tracker, time_point now);
    /// True if the route and the caller's team both may be served in the region.
    bool may_run_in(pending_request const& request, region_name const& region) const;
    /// Added cost of the bytes that a request moves between places, in a region of many entries.
    double transfer_cost_ms(service_pool const& pool, upstream_tracker const& tracker) const;
    /// Part of the placement cost, in milliseconds, that is lower for upstreams in this place and
    /// for those that the hash of the request's object selects.
    double affinity_cost_ms(pending_request const& request, upstream_tracker const& tracker) const;
    pool_summary summarize_pool(pending_request const& request, time_point now) const;

    // Objects that other regions serve (forwarding_spill.cpp).
    /// True if the request's object is among those that are served in other regions.
    bool is_spilled(pending_request const& request) const;
    /// The free fraction of a service's slots in this region, or in the other regions; 0 if there
    /// are no slots.
    double free_slot_fraction(service_name const& service, bool in_region, time_point now) const;
    /// Fraction of a service's requests that other regions should serve when all regions are full.
    double planned_spill_fraction(service_pool const& pool, time_point now) const;
    /// Sets the initial spill fraction of a service once enough is known about other entries.
    void begin_spill(service_pool& pool, time_point now);
    /// Places waiting requests of the services of these upstreams, which have fewer requests now.
    void place_waiting_for(std::vector<upstream_key> const& freed, time_point now, commands& out);
    /// Takes over the spill fractions of another entry of this region if this one has just started.
    void adopt_spill_fractions(wire::slot_report const& report, time_point now);

    // Ends of sends and requests (forwarding_endings.cpp).
    /// Delivers or replaces the upstream's complete answer, or sends the request again.
    void handle_answer(pending_request& request, int status, time_point now, commands& out);
    void record_service_time(pending_request const& request, time_point now);
    /// Ends or resends a request that its upstream provably didn't run.
    void handle_not_run(pending_request& request, not_run_evidence const& evidence, refusal reason,
                        time_point now, commands& out);
    /// Ends or, if it is idempotent, resends a request whose send broke: it may have run.
    void handle_lost_send(pending_request& request, time_point now, commands& out);
    /// True if a further send is allowed; takes it from the retry budget.
    bool may_send_again(pending_request const& request, time_point now);
    /// Puts a request that found no slot among the waiting ones, or refuses it (defined in
    /// forwarding_engine.cpp).
    void hold_or_refuse(pending_request& request, time_point now, commands& out);
    void end_with_refusal(pending_request& request, refusal reason, time_point now, commands& out);
    void handle_deadline(pending_request& request, time_point now, commands& out);
    /// Forgets a request and keeps its summary in `last_finished_`.
    void finish(pending_request& request, time_point now);
    std::optional<duration> retry_after(pending_request const& request, refusal reason,
                                        time_point now);
    /// Counts the bytes of an answered request's body and of its answer's.
    void record_transfer(pending_request const& request, std::size_t body_bytes);
    /// The tracker of the request's upstream if that is still the incarnation to which the request
    /// was sent, or null.
    upstream_tracker* tracker_of_send(pending_request const& request);
    /// Counts the end of the request's send at its upstream.
    void record_send_end(pending_request const& request, send_end_report const& report,
                         time_point now);
    /// Returns true if the upstream wasn't known to be leaving.
    bool mark_leaving(upstream_tracker& tracker, commands& out);
    /// When an upstream that may run the request accepts requests again, as far as pauses that
    /// upstreams asked for are known; nothing if no upstream may run it at all. Ejected upstreams
    /// count as accepting, because a probe may return them at any time.
    std::optional<time_point> acceptance_time(pending_request const& request) const;
    /// Refuses the service's waiting requests that can no longer be sent in time.
    void refuse_hopeless_waiting(service_name const& service, time_point now, commands& out);

    void schedule(pending_request& request, time_point wake_at);
    void unschedule(pending_request const& request);
    void send_probes(time_point now, commands& out);
    void mark_count_changed(upstream_tracker const& tracker);

    forwarding_options options_;
    random_source& random_;
    admission admission_;
    stop_admission stop_admission_;
    key_trust key_trust_;
    quota_gate* quota_gate_ = nullptr;
    team_directory teams_; ///< Of `document_`.
    std::unique_ptr<route_table> routes_;
    std::shared_ptr<routing_document const> document_;
    weighted_split service_splits_;
    std::unordered_map<upstream_name, upstream_tracker> trackers_;
    std::unordered_map<upstream_key, upstream_tracker const*> trackers_by_key_;
    /// Upstreams that may be ejected; those that no longer are leave it when probes are sent.
    std::set<upstream_name> ejected_upstreams_;
    std::map<service_name, service_pool> pools_;
    reported_slot_usage peer_counts_;
    cold_sender_choice cold_senders_;
    bool cold_senders_are_outdated_ = false; ///< `entries_` has changed since their update.
    /// When this entry first knew an upstream.
    std::optional<time_point> first_upstreams_at_;
    /// Upstreams whose pace isn't steady, will begin after a pause, or has a change to be logged.
    std::set<upstream_name> paced_upstreams_;
    std::vector<upstream_pace_change> pace_changes_;
    outbound_fraction_limiter region_share_;
    std::map<instance_name, region_name> entries_;
    std::vector<instance_name> own_region_entries_; ///< Entries of this region, including this one.
    std::unordered_map<request_id, pending_request> requests_;
    std::map<service_name, std::vector<request_id>> waiting_requests_;
    std::set<std::pair<time_point, request_id>> schedule_; ///< Requests by their `wake_at`.
    std::set<upstream_key> changed_counts_; ///< Upstreams with a count not yet reported.
    std::map<region_name, duration> region_round_trips_;
    duration place_round_trip_;
    time_point suspended_until_;
    std::optional<time_point> first_arrival_;
    time_point next_maintenance_;
    bool routes_incomplete_ = false;
    forwarding_counters counters_;
    request_summary last_finished_;
};

} // namespace burdockstep
