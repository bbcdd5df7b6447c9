/// Stand-in for one upstream with slots, a bounded queue, random service times and faults.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/core/random.hpp"
#include "libraries/net/http_server.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace burdockstep {

/// Number of times that upstreams ran the request with each id.
using request_run_counts = std::unordered_map<std::string, unsigned>;

/// Behaviour of an upstream without faults.
struct upstream_behaviour
{
    duration mean_service_time{}; ///< Service times are exponential.
    std::size_t answer_bytes = 0;
    duration streaming_time{}; ///< Time to send the body; zero sends it at once.
    /// Fraction of the requests whose mean service time is `slow_request_factor` times longer.
    double slow_request_share = 0;
    double slow_request_factor = 1;
    std::size_t max_queued_per_slot = 4; ///< Further requests are refused.
};

/// Faults of one upstream.
struct upstream_faults
{
    time_point stalled_until;        ///< No service finishes before this time.
    bool sheds_requests = false;     ///< Refuses all requests with the reason "shed".
    bool is_leaving = false;         ///< Refuses new requests and announces that it is leaving.
    double service_time_factor = 1;  ///< Multiplies the mean service time.
    double reported_load_factor = 1; ///< Multiplies the busy slots in load reports.
    std::set<std::uint64_t> silent_connections; ///< Requests on these are never answered.
};

/// Serves the requests of one upstream. Each body is derived from the request's id, so that the
/// load generator can verify it.
class upstream_standin
{
public:
    using delay_function = std::function<duration(address const& caller)>;

    /// `one_way_delay` returns the simulated network delay from a caller's address. `run_counts`
    /// is shared by all upstreams and counts how often each request id has run.
    upstream_standin(event_loop& loop, upstream const& definition, upstream_behaviour behaviour,
                     delay_function one_way_delay, random_source& random,
                     request_run_counts& run_counts);

    result<address> try_listen(address const& at);
    upstream const& definition() const { return definition_; }
    upstream_faults& faults() { return faults_; }
    /// Never answers another request on a connection that has carried one so far.
    void silence_open_connections();
    std::uint64_t answered() const { return answered_; }
    std::uint32_t busy_slots() const { return busy_slots_; }
    /// Number of requests that were received, whether they were run or not.
    std::uint64_t arrivals() const { return next_request_number_ - 1; }
    /// Number of requests that were received and aren't answered yet: on the simulated network,
    /// queued or being processed.
    std::size_t in_progress() const { return active_requests_.size(); }

private:
    struct active_request
    {
        std::shared_ptr<http_exchange> exchange;
        duration one_way_delay{};
        std::unique_ptr<timer> delay_timer;
        std::uint64_t sent_bytes = 0;
        std::size_t answer_bytes = 0;
        bool queued = false;
        bool holds_slot = false;
        bool caller_disconnected = false;
    };

    void on_request(std::shared_ptr<http_exchange> const& exchange);
    void handle_arrival(std::uint64_t request_number);
    void start_queued_requests();
    void start_service(std::uint64_t request_number);
    void finish_service(std::uint64_t request_number);
    void send_answer_bytes(std::uint64_t request_number);
    void send_refusal(active_request const& current_request, char const* reason) const;
    void remove_request(std::uint64_t request_number);
    void handle_caller_disconnect(std::uint64_t request_number);

    event_loop& loop_;
    upstream definition_;
    upstream_behaviour behaviour_;
    delay_function one_way_delay_;
    random_source& random_;
    request_run_counts& run_counts_;
    system_clock_source clock_;
    http_server server_;
    upstream_faults faults_;
    std::map<std::uint64_t, active_request> active_requests_;
    std::deque<std::uint64_t> queue_;
    std::set<std::uint64_t> connections_;
    std::uint64_t next_request_number_ = 1;
    std::uint64_t answered_ = 0;
    std::uint32_t busy_slots_ = 0;
};

} // namespace burdockstep
