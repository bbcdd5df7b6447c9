/// Decides what happens to each request of callers that send plain HTTP.
#pragma once

#include "libraries/core/random.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/dispatch/reported_slot_usage.hpp"
#include "libraries/forwarding/admission.hpp"
#include "libraries/forwarding/forwarding_messages.hpp"
#include "libraries/forwarding/upstream_tracker.hpp"
#include "libraries/requests/request_stage.hpp"
#include "libraries/requests/windowed_retry_budget.hpp"
#include "libraries/routing/route_table.hpp"
#include "libraries/steering/outbound_fraction_limiter.hpp"
#include "libraries/steering/spill_controller.hpp"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace burdockstep {

/// Who this entry is, and its limits.
struct forwarding_options
{
    instance_name instance;
    place_name place;
    region_name region;
    upstream_tracker_options tracker_options;
    admission_options admission;
    outbound_fraction_limiter_options region_shift_limits;
    retry_terms retry_budget;
    std::size_t max_requests_under_way = 4'096;
    /// Time between regions and back, until a connection has shown it.
    duration default_region_round_trip = std::chrono::milliseconds(30);
    duration default_place_round_trip = std::chrono::milliseconds(10);
    /// An answer of the upstream's own to a passed deadline arrives within this time.
    duration deadline_grace = std::chrono::milliseconds(40);
    /// A freed slot is left to the entry that comes before this one for so long, for each such
    /// entry: news of a slot that was taken travels a few milliseconds.
    duration slot_precedence_delay = std::chrono::milliseconds(7);
    /// An entry that knows no other for so long after its first request is the only one.
    duration entry_discovery_timeout = std::chrono::seconds(3);
    /// A further send to a kept connection that was idle for longer could find it closed.
    duration non_idempotent_idle_limit = std::chrono::milliseconds(4'000);
};

/// Numbers for operators.
struct forwarding_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t sends = 0;
    std::uint64_t further_sends = 0;
    std::uint64_t retries_denied = 0; ///< By the budget.
    std::uint64_t left_region = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t probes = 0;
};

/// Why a request ended as it did, for its log line.
struct request_summary
{
    std::string caller_id;
    std::string route;
    service_name service;
    upstream_name upstream; ///< Of the last send.
    unsigned sends = 0;
    duration hold_time{}; ///< Before the first send.
    duration total_time{};
    configuration_version version;
};

/// Holds the requests under way. It sends nothing itself: each input returns commands.
class forwarding_engine
{
public:
    using commands = std::vector<forwarding_command>;

    forwarding_engine(forwarding_options options, random_source& random);

    commands update_document(std::shared_ptr<routing_document const> document, time_point now);
    /// Takes the registry's upstreams after a change.
    commands update_upstreams(std::map<upstream_name, known_upstream> const& upstreams,
                              time_point now);
    /// The live entries, this one too, with their regions.
    void update_entries(std::map<instance_name, region_name> const& entries);
    commands handle_slot_report(wire::slot_report const& report, time_point now);
    /// Nothing is sent before `resume`, or this time: what is known may have aged.
    void suspend(time_point until) { suspended_until_ = until; }
    commands resume(time_point now);
    /// Routes may be missing here: unknown ones are refused for now instead of for good.
    void set_routes_incomplete(bool incomplete) { routes_incomplete_ = incomplete; }

    commands submit(request_arrival arrival, time_point now);
    commands handle_send_end(request_id id, send_end_report const& report, time_point now);
    commands handle_probe_report(upstream_name const& upstream, probe_report const& report,
                                 time_point now);
    commands handle_caller_disconnect(request_id id, time_point now);
    commands tick(time_point now);
    /// When `tick` has something to do next.
    std::optional<time_point> next_tick() const;
    /// Time that connecting took: a round trip to the upstream.
    void record_round_trip(upstream_name const& upstream, duration measured);

    /// Upstreams whose counts of this entry changed since the last call, with the counts.
    std::vector<wire::slot_count_entry> take_changed_counts();
    bool has_changed_counts() const { return !changed_counts_.empty(); }
    std::vector<wire::slot_count_entry> all_counts() const;
    /// The part of each service's objects that this entry has served in other regions.
    std::vector<wire::service_part> spill_fractions() const;

    std::size_t requests_under_way() const { return requests_.size(); }
    forwarding_counters const& counters() const { return counters_; }
    /// The story of a request that is under way, or has ended in the last input.
    request_summary const& last_finished() const { return last_finished_; }
    bool has_document() const { return routes_ != nullptr; }
    configuration_version version() const;
    std::set<service_name> services() const;

private:
    struct pending_request
    {
        request_arrival arrival;
        std::shared_ptr<routing_document const> document; ///< Keeps the route alive.
        route const* matched_route = nullptr;
        service_name service;
        time_point arrived;
        time_point deadline;   ///< Of the caller or the route, the earlier one.
        time_point hold_until; ///< Refused when no slot was had by then.
        std::variant<waiting_request, dispatched_request> stage = waiting_request::accept();
        bool at_upstream = false;
        bool discards_answer = false; ///< Its limit has passed; the upstream's own answer may come.
        upstream_name upstream;
        std::vector<upstream_name> tried_upstreams;
        unsigned sends = 0;
        bool object_is_recent = false; ///< The upstream remembers its object.
        time_point sent_at;
        duration hold_time{};
        bool counted_in_region_share = false;
        time_point wake_at; ///< When tick looks at it.
    };

    struct service_pool
    {
        std::vector<upstream_tracker*> upstreams; ///< Not removed ones; `trackers_` owns them.
        windowed_retry_budget retry_budget;
        service_time_estimate
            recent_object_service_time;                ///< On objects that the upstream remembers.
        service_time_estimate new_object_service_time; ///< On others.
        spill_controller spill{{}};
    };

    struct placement_choice
    {
        upstream_tracker* tracker = nullptr;
        double cost_ms = 0;
        bool left_region = false;
    };

    /// What one pass over a service's upstreams shows for a request.
    struct pool_summary
    {
        upstream_tracker const* preferred_in_region =
            nullptr; ///< Of this region, to get the request.
        upstream_tracker const* preferred_elsewhere =
            nullptr;                        ///< Of another one, should it be spilled.
        double free_fraction_in_region = 0; ///< Free part of this region's slots.
    };

    // Placement (forwarding_placement.cpp).
    bool try_place(pending_request& request, time_point now, commands& out);
    std::optional<placement_choice> choose_upstream(pending_request const& request, time_point now);
    std::optional<double> placement_cost(pending_request const& request, upstream_tracker& tracker,
                                         time_point now);
    bool may_take_slot(upstream_tracker& tracker, unsigned free, time_point now) const;
    void update_slot_precedence(upstream_tracker& tracker) const;
    void place_waiting(service_name const& service, time_point now, commands& out);
    void place_all_waiting(time_point now, commands& out);
    duration expected_round_trip(upstream_tracker const& tracker) const;
    duration expected_service_time(pending_request const& request, bool object_is_recent) const;
    void start_send(pending_request& request, placement_choice const& chosen, time_point now,
                    commands& out);
    bool may_send_to(upstream_tracker& tracker, double cold_rate, time_point now) const;
    bool is_sender_to_cold_upstream(upstream_tracker const& tracker) const;
    bool may_run_in(route const& matched_route, region_name const& region) const;
    /// Small for upstreams that are near and that the object's hash points to, in milliseconds.
    double affinity_cost_ms(pending_request const& request, upstream_tracker const& tracker) const;
    pool_summary summarize_pool(pending_request const& request, time_point now) const;
    bool is_spilled(pending_request const& request) const;
    /// The free part of a service's slots, in this region or in the others; 0 where there are none.
    double free_slot_fraction(service_name const& service, bool in_region, time_point now) const;
    /// Part of a service's requests that the other regions should serve when all are full.
    double planned_spill_fraction(service_pool const& pool) const;
    void begin_spill(service_pool& pool, time_point now);
    void adopt_spill_fractions(wire::slot_report const& report, time_point now);

    // Endings (forwarding_endings.cpp).
    void handle_not_run(pending_request& request, not_run_evidence const& evidence, refusal reason,
                        time_point now, commands& out);
    void handle_lost_send(pending_request& request, time_point now, commands& out);
    bool may_send_again(pending_request const& request, time_point now);
    void hold_or_refuse(pending_request& request, time_point now, commands& out);
    void end_with_refusal(pending_request& request, refusal reason, time_point now, commands& out);
    void handle_deadline(pending_request& request, time_point now, commands& out);
    void finish(pending_request& request, time_point now);
    std::optional<duration> retry_after(pending_request const& request);

    void schedule(pending_request& request, time_point wake_at);
    void unschedule(pending_request const& request);
    void send_probes(time_point now, commands& out);
    void mark_count_changed(upstream_tracker const& tracker);

    forwarding_options options_;
    random_source& random_;
    admission admission_;
    std::unique_ptr<route_table> routes_;
    std::shared_ptr<routing_document const> document_;
    weighted_split service_splits_;
    std::unordered_map<upstream_name, upstream_tracker> trackers_;
    std::unordered_map<upstream_key, upstream_tracker const*> trackers_by_key_;
    std::map<service_name, service_pool> pools_;
    reported_slot_usage peer_counts_;
    outbound_fraction_limiter region_share_;
    std::map<instance_name, region_name> entries_;
    std::vector<instance_name> own_region_entries_; ///< Of this region.
    std::unordered_map<request_id, pending_request> requests_;
    std::map<service_name, std::vector<request_id>> waiting_requests_;
    std::set<std::pair<time_point, request_id>> schedule_;
    std::set<upstream_key> changed_counts_;
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
