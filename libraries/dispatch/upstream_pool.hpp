/// Shares out the slots of one pool of upstreams among the requests of its owner.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/requests/outcome.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace burdockstep {

/// Limits and learning rates of a pool.
struct upstream_pool_options
{
    std::size_t max_queued = 1'024;
    /// Longest expected wait in the queue at which a request is still taken.
    duration max_expected_wait = std::chrono::milliseconds(400);
    /// Most requests under way to an upstream beyond its slots, as a multiple of the slots.
    double max_overcommit_ratio = 3.0;
    /// Time for which an upstream that shed gets nothing.
    duration shed_pause = std::chrono::milliseconds(20);
    /// Failures in a row after which an upstream is ejected.
    unsigned failures_to_eject = 3;
    duration first_ejection_duration = std::chrono::seconds(1);
    duration max_ejection_duration = std::chrono::seconds(30);
};

/// One upstream as the pool uses it.
struct pool_member
{
    upstream_name name;
    slot_count slots;
    /// Round trip that the operators' delays give; the time of service is learnt beyond it.
    duration round_trip{};
};

/// A request that waits for a slot.
struct pool_request
{
    request_id id;
    time_point deadline;
    /// Upstreams that this request has tried.
    std::vector<upstream_name> excluded_upstreams;
};

/// How a dispatched request ended at its upstream.
enum class pool_result
{
    answered,
    shed,          ///< The upstream said that it didn't run it.
    not_connected, ///< No connection could be made.
    lost,          ///< The connection ended or stalled.
    cancelled      ///< This side gave up.
};

/// Send the request to the upstream now.
struct dispatch_command
{
    request_id id;
    upstream_name upstream;
};

/// The pool won't take the request, or gives it back unsent.
struct reject_command
{
    request_id id;
    refusal_reason reason = refusal_reason::no_room;
};

using pool_command = std::variant<dispatch_command, reject_command>;

/// Sums over a pool, for reports and for the choice among regions.
struct pool_load
{
    std::uint32_t slots = 0; ///< Of the upstreams that take new work.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
};

/// State of one upstream, for operators.
struct pool_member_view
{
    upstream_name name;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    duration mean_latency{};
    bool leaving = false;
    bool ejected = false;
};

/// Queues requests and gives each the least loaded upstream. An upstream may have more requests
/// under way than slots, by the share that travels on the network at any moment.
class upstream_pool
{
public:
    explicit upstream_pool(upstream_pool_options options) : options_(options) {}

    /// Replaces the members; what is known of those that stay is kept.
    std::vector<pool_command> set_members(std::vector<pool_member> const& members, time_point now);
    /// An upstream gets no new work from now on, or takes part again.
    void set_leaving(upstream_name const& upstream, bool leaving);

    /// Takes a request.
    std::vector<pool_command> submit(pool_request request, time_point now);
    /// Gives up a request that waits. Does nothing when it has been dispatched.
    void cancel_queued(request_id id);
    /// The answer of a dispatched request has begun.
    void note_head(request_id id, time_point now);
    /// A dispatched request has ended.
    std::vector<pool_command> finish(request_id id, pool_result result, time_point now);
    /// Rejects what has waited past its deadline, and ends ejections.
    std::vector<pool_command> tick(time_point now);

    pool_load load() const;
    /// Mean time to an answer's head; zero when it isn't known.
    duration mean_latency(upstream_name const& upstream) const;
    std::vector<pool_member_view> members(time_point now) const;

private:
    struct member_state
    {
        pool_member member;
        std::uint32_t in_flight = 0;
        double mean_latency_us =
            0; ///< Time to the answer's head, round trip included; 0: none yet.
        double overcommit_scale = 1.0; ///< Part of the extra allowance that shedding has left.
        unsigned consecutive_failures = 0;
        duration ejection_duration{};
        time_point unusable_until;
        std::uint64_t last_dispatch_number = 0;
        bool leaving = false;
        bool removed = false;
    };

    struct dispatched_request
    {
        upstream_name upstream;
        time_point dispatched_at;
        bool head_received = false;
    };

    double in_flight_limit(member_state const& state) const;
    bool is_usable(member_state const& state, time_point now) const;
    member_state* choose_upstream(pool_request const& request, time_point now);
    duration expected_wait() const;
    std::vector<pool_command> dispatch_waiting(time_point now);
    void apply_result(member_state& state, pool_result result, time_point now);
    void note_failure(member_state& state, time_point now);

    upstream_pool_options options_;
    std::map<upstream_name, member_state> members_;
    std::deque<pool_request> waiting_;
    std::unordered_map<request_id, dispatched_request> dispatched_requests_;
    std::uint64_t dispatch_count_ = 0;
};

} // namespace burdockstep
