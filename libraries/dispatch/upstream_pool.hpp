/// Assigns the requests of one entry to the slots of a pool of upstreams.
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

/// Limits of a pool's queue, of requests in flight and of ejections.
struct upstream_pool_options
{
    /// Largest number of requests in the queue.
    std::size_t max_queued = 1'024;
    /// A request is rejected if its expected wait in the queue is longer than this.
    duration max_expected_wait = std::chrono::milliseconds(400);
    /// Largest number of requests in flight to an upstream beyond its slots, as a multiple of its
    /// slots.
    double max_overcommit_ratio = 3.0;
    /// Time for which an upstream gets no requests after it has shed one.
    duration shed_pause = std::chrono::milliseconds(20);
    /// Number of consecutive failures after which an upstream is ejected.
    unsigned failures_to_eject = 3;
    /// Time for which an ejected upstream gets no requests. It doubles with each further ejection,
    /// up to the maximum, until the upstream answers a request.
    duration first_ejection_duration = std::chrono::seconds(1);
    duration max_ejection_duration = std::chrono::seconds(30);
};

/// An upstream of the pool.
struct pool_member
{
    upstream_name name;
    slot_count slots;
    /// Network round trip, from the delays that operators configure. The rest of the measured
    /// latency is service time.
    duration round_trip{};
};

/// A request to be dispatched to a slot.
struct pool_request
{
    request_id id;
    time_point deadline;
    /// Upstreams that the request has already been sent to and must not be sent to again.
    std::vector<upstream_name> excluded_upstreams;
};

/// How a dispatched request ended.
enum class pool_result
{
    answered,      ///< The upstream answered it completely.
    shed,          ///< The upstream reported that it did not run it.
    not_connected, ///< No connection to the upstream could be made.
    lost,          ///< The connection closed or stalled before the answer was complete.
    cancelled      ///< This entry abandoned it.
};

/// Tells the entry to send the request to the upstream now.
struct dispatch_command
{
    request_id id;
    upstream_name upstream;
};

/// Tells the entry that the pool has rejected the request without sending it.
struct reject_command
{
    request_id id;
    refusal_reason reason = refusal_reason::no_room;
};

using pool_command = std::variant<dispatch_command, reject_command>;

/// Totals of a pool, for reports to other entries and for the choice of a region.
struct pool_load
{
    std::uint32_t slots = 0; ///< Slots of the upstreams that accept new requests.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
};

/// State of one upstream, shown to operators.
struct pool_member_view
{
    upstream_name name;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    duration mean_latency{};
    bool leaving = false;
    bool ejected = false; ///< Also true during the pause after shedding.
};

/// Queues requests and dispatches each to the least loaded upstream. An upstream may have more
/// requests in flight than slots, because some of them are on the network at any moment and don't
/// occupy a slot.
class upstream_pool
{
public:
    explicit upstream_pool(upstream_pool_options options) : options_(options) {}

    /// Replaces the members. Members that remain keep their state.
    std::vector<pool_command> set_members(std::vector<pool_member> const& members, time_point now);
    /// Stops sending new requests to an upstream that is leaving, or resumes if it no longer is.
    void set_leaving(upstream_name const& upstream, bool leaving);

    /// Queues a request and dispatches it if a slot is free, or rejects it.
    std::vector<pool_command> submit(pool_request request, time_point now);
    /// Removes a request from the queue. Does nothing if it has already been dispatched.
    void cancel_queued(request_id id);
    /// Records that the head of the answer to a dispatched request has arrived.
    void note_head(request_id id, time_point now);
    /// Records the end of a dispatched request, and dispatches queued ones to the freed slot.
    std::vector<pool_command> finish(request_id id, pool_result result, time_point now);
    /// Rejects queued requests whose deadline has passed, and dispatches others to upstreams whose
    /// ejection or pause has ended.
    std::vector<pool_command> tick(time_point now);

    pool_load load() const;
    /// Moving average of the time until the head of an answer arrives; zero if unknown.
    duration mean_latency(upstream_name const& upstream) const;
    std::vector<pool_member_view> members(time_point now) const;

private:
    struct member_state
    {
        pool_member member;
        std::uint32_t in_flight = 0;
        /// Moving average of the time until the head of an answer arrives, including the network
        /// round trip; 0 before the first answer.
        double mean_latency_us = 0;
        /// Factor of the requests in flight beyond the slots. Shedding halves it, answers restore
        /// it.
        double overcommit_scale = 1.0;
        unsigned consecutive_failures = 0;
        duration ejection_duration{}; ///< Of the last ejection; zero after an answer.
        time_point unusable_until;    ///< End of an ejection or of the pause after shedding.
        std::uint64_t last_dispatch_number = 0; ///< Orders upstreams by their last dispatch.
        bool leaving = false;
        bool removed = false; ///< No longer a member, but some requests are still in flight.
    };

    /// A request that has been sent to an upstream and has not ended.
    struct dispatched_request
    {
        upstream_name upstream;
        time_point dispatched_at;
        bool head_received = false;
    };

    /// Largest number of requests that may be in flight to an upstream.
    double in_flight_limit(member_state const& state) const;
    /// True if a request may be dispatched to the upstream now.
    bool is_usable(member_state const& state, time_point now) const;
    /// Returns the least loaded usable upstream, or null. Among equals, the one least recently
    /// used.
    member_state* choose_upstream(pool_request const& request, time_point now);
    /// Expected time in the queue of a request that arrives now.
    duration expected_wait() const;
    /// Dispatches queued requests, oldest first, while usable upstreams remain.
    std::vector<pool_command> dispatch_waiting(time_point now);
    /// Updates an upstream's failure count, ejection and limit on requests in flight.
    void apply_result(member_state& state, pool_result result, time_point now);
    /// Counts a failure, and ejects the upstream after too many consecutive ones.
    void note_failure(member_state& state, time_point now);

    upstream_pool_options options_;
    std::map<upstream_name, member_state> members_;
    std::deque<pool_request> waiting_; ///< The queue, oldest request first.
    std::unordered_map<request_id, dispatched_request> dispatched_requests_;
    std::uint64_t dispatch_count_ = 0; ///< Number of all dispatches so far.
};

} // namespace burdockstep
