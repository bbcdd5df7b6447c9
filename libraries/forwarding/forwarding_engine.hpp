/// Decides what happens to each request of callers that send plain HTTP.
#pragma once

#include "libraries/core/random.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/dispatch/reported_slot_usage.hpp"
#include "libraries/forwarding/admission.hpp"
#include "libraries/forwarding/forwarding_messages.hpp"
#include "libraries/forwarding/upstream_track.hpp"
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
    upstream_track_options tracks;
    admission_options admission;
    outbound_fraction_limiter_options shares;
    retry_terms retries;
    std::size_t most_requests = 4'096;
    /// Time between regions and back, until a connection has shown it.
    duration usual_region_delay = std::chrono::milliseconds(30);
    duration usual_place_delay = std::chrono::milliseconds(10);
    /// An answer of the upstream's own to a passed deadline arrives within this time.
    duration deadline_grace = std::chrono::milliseconds(40);
    /// A freed slot is left to the entry that comes before this one for so long, for each such
    /// entry: news of a slot that was taken travels a few milliseconds.
    duration slot_turn = std::chrono::milliseconds(7);
    /// An entry that knows no other for so long after its first request is the only one.
    duration entries_patience = std::chrono::seconds(3);
    /// A further send to a kept connection that was idle for longer could find it closed.
    duration idle_limit_once = std::chrono::milliseconds(4'000);
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
struct request_story
{
    std::string caller_id;
    std::string route;
    service_name service;
    upstream_name upstream; ///< Of the last send.
    unsigned sends = 0;
    duration held{}; ///< Before the first send.
    duration total{};
    configuration_version version;
};

/// Holds the requests under way. It sends nothing itself: each input returns commands.
class forwarding_engine
{
public:
    using commands = std::vector<forwarding_command>;

    forwarding_engine(forwarding_options options, random_source& random);

    commands take_document(std::shared_ptr<routing_document const> document, time_point now);
    /// Takes the registry's upstreams after a change.
    commands take_upstreams(std::map<upstream_name, known_upstream> const& upstreams,
                            time_point now);
    /// The live entries, this one too, with their regions.
    void take_entries(std::map<instance_name, region_name> const& entries);
    commands take_slot_report(wire::slot_report const& report, time_point now);
    /// Nothing is sent before `resume`, or this time: what is known may have aged.
    void suspend(time_point until) { suspended_until_ = until; }
    commands resume(time_point now);
    /// Routes may be missing here: unknown ones are refused for now instead of for good.
    void set_routes_doubtful(bool doubtful) { routes_doubtful_ = doubtful; }

    commands arrive(request_arrival arrival, time_point now);
    commands take_send_end(request_id id, send_end_report const& report, time_point now);
    commands take_probe(upstream_name const& upstream, probe_report const& report, time_point now);
    commands take_caller_gone(request_id id, time_point now);
    commands tick(time_point now);
    /// When `tick` has something to do next.
    std::optional<time_point> next_tick() const;
    /// Time that connecting took: a round trip to the upstream.
    void note_round_trip(upstream_name const& upstream, duration measured);

    /// Upstreams whose counts of this entry changed since the last call, with the counts.
    std::vector<wire::slot_count_entry> take_changed_counts();
    bool has_changed_counts() const { return !changed_.empty(); }
    std::vector<wire::slot_count_entry> all_counts() const;
    /// The part of each service's objects that this entry has served in other regions.
    std::vector<wire::service_part> spilled_parts() const;

    std::size_t requests_under_way() const { return requests_.size(); }
    forwarding_counters const& counters() const { return counters_; }
    /// The story of a request that is under way, or has ended in the last input.
    request_story const& last_ended() const { return last_ended_; }
    bool has_document() const { return routes_ != nullptr; }
    configuration_version version() const;
    std::set<service_name> services() const;

private:
    struct pending
    {
        request_arrival arrival;
        std::shared_ptr<routing_document const> document; ///< Keeps the route alive.
        route const* which = nullptr;
        service_name service;
        time_point arrived;
        time_point limit;      ///< Of the caller or the route, the earlier one.
        time_point hold_until; ///< Refused when no slot was had by then.
        std::variant<waiting_request, dispatched_request> stage = waiting_request::accept();
        bool at_upstream = false;
        bool timed_out = false; ///< Its limit has passed; the upstream's own answer may come.
        upstream_name upstream;
        std::vector<upstream_name> tried;
        unsigned sends = 0;
        bool familiar = false; ///< The upstream remembers its object.
        time_point sent_at;
        duration held{};
        bool share_counted = false;
        time_point due; ///< When tick looks at it.
    };

    struct service_pool
    {
        std::vector<upstream_track*> upstreams; ///< Not removed ones; `tracks_` owns them.
        windowed_retry_budget retries;
        work_estimate work;            ///< On objects that the upstream remembers.
        work_estimate unfamiliar_work; ///< On others.
        spill_controller spill{{}};
    };

    struct choice
    {
        upstream_track* track = nullptr;
        double cost_ms = 0;
        bool left_region = false;
    };

    /// What one pass over a service's upstreams shows for a request.
    struct pool_survey
    {
        upstream_track const* home = nullptr;     ///< Of this region, to get the request.
        upstream_track const* far_home = nullptr; ///< Of another one, should it be spilled.
        double free_near = 0;                     ///< Free part of this region's slots.
    };

    // Placement (forwarding_placement.cpp).
    bool try_place(pending& which, time_point now, commands& out);
    std::optional<choice> choose(pending const& which, time_point now);
    std::optional<double> cost_of(pending const& which, upstream_track& track, time_point now);
    bool is_slot_mine(upstream_track& track, unsigned free, time_point now) const;
    void set_turn(upstream_track& track) const;
    void place_waiting(service_name const& service, time_point now, commands& out);
    void place_all_waiting(time_point now, commands& out);
    duration round_trip(upstream_track const& track) const;
    duration expected_work(pending const& which, bool familiar) const;
    void start_send(pending& which, choice const& chosen, time_point now, commands& out);
    bool may_send_to(upstream_track& track, double cold_rate, time_point now) const;
    bool is_cold_sender(upstream_track const& track) const;
    bool may_run_in(route const& which, region_name const& region) const;
    /// Small for upstreams that are near and that the object's hash points to, in milliseconds.
    double preference(pending const& which, upstream_track const& track) const;
    pool_survey survey(pending const& which, time_point now) const;
    bool is_spilled(pending const& which) const;
    /// The free part of a service's slots, in this region or in the others; 0 where there are none.
    double free_part(service_name const& service, bool in_region, time_point now) const;
    /// Part of a service's requests that the other regions should serve when all are full.
    double planned_spill(service_pool const& pool) const;
    void begin_spill(service_pool& pool, time_point now);
    void adopt_parts(wire::slot_report const& report, time_point now);

    // Endings (forwarding_endings.cpp).
    void take_not_run(pending& which, not_run_evidence const& evidence, refusal why, time_point now,
                      commands& out);
    void take_lost(pending& which, time_point now, commands& out);
    bool may_send_again(pending const& which, time_point now);
    void wait_again(pending& which, time_point now, commands& out);
    void end(pending& which, refusal why, time_point now, commands& out);
    void end_at_limit(pending& which, time_point now, commands& out);
    void finish(pending& which, time_point now);
    std::optional<duration> retry_after(pending const& which);

    void schedule(pending& which, time_point due);
    void unschedule(pending const& which);
    void send_probes(time_point now, commands& out);
    void mark_changed(upstream_track const& track);

    forwarding_options options_;
    random_source& random_;
    admission admission_;
    std::unique_ptr<route_table> routes_;
    std::shared_ptr<routing_document const> document_;
    weighted_split splits_;
    std::unordered_map<upstream_name, upstream_track> tracks_;
    std::unordered_map<upstream_key, upstream_track const*> tracks_by_key_;
    std::map<service_name, service_pool> pools_;
    reported_slot_usage book_;
    outbound_fraction_limiter share_;
    std::map<instance_name, region_name> entries_;
    std::vector<instance_name> region_entries_; ///< Of this region.
    std::unordered_map<request_id, pending> requests_;
    std::map<service_name, std::vector<request_id>> waiting_;
    std::set<std::pair<time_point, request_id>> schedule_;
    std::set<upstream_key> changed_;
    std::map<region_name, duration> region_delays_;
    duration place_delay_;
    time_point suspended_until_;
    std::optional<time_point> first_arrival_;
    time_point next_probe_check_;
    bool routes_doubtful_ = false;
    forwarding_counters counters_;
    request_story last_ended_;
};

} // namespace burdockstep
