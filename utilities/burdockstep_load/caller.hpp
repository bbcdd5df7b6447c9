/// Client side of one request: looks up the service's entries, sends the request and retries it
/// according to the reported outcome.
#pragma once

#include "utilities/burdockstep_load/lookup_cache.hpp"

#include "libraries/core/random.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/standin/answer_pattern.hpp"

#include <functional>
#include <memory>
#include <string>

namespace burdockstep {

/// Final outcome of a request, after all retries.
enum class caller_outcome
{
    answered,
    not_run,
    unknown,
    wrong_answer, ///< The body is not this request's, or is truncated although marked complete.
    no_lookup     ///< No instance answered the look-up, or no unused ticket could be obtained.
};

/// A request and its retry policy.
struct caller_request
{
    std::string id;
    service_name service;
    region_name region;
    std::string body;
    time_point planned_start;
    /// Maximum number of sends after the first one, whether the outcome was "not run" or "unknown".
    unsigned max_retries = 3;
    duration retry_delay = std::chrono::milliseconds(20);
};

/// Result of one request, for the statistics of a load run.
struct caller_result
{
    caller_outcome outcome = caller_outcome::unknown;
    service_name service;
    duration latency{}; ///< From the planned start to the end of the answer.
    std::uint64_t bytes = 0;
    unsigned sends = 0;
};

/// Runs one request, reports its result to a handler and then deletes itself.
class caller final : public call_listener
{
public:
    using result_handler = std::function<void(caller_result const&)>;

    /// Starts a request. `client`, `lookups`, `loop` and `clock` must outlive it.
    static void start(caller_request request, http_client& client, lookup_cache& lookups,
                      event_loop& loop, clock_source const& clock, result_handler on_finished);

    void on_head(http_head const& head) override;
    bool on_body(std::string_view bytes) override;
    void on_done(call_end end) override;

private:
    caller(caller_request request, http_client& client, lookup_cache& lookups, event_loop& loop,
           clock_source const& clock, result_handler on_finished);

    void look_up();
    void send(lookup_answer& answer);
    void schedule_retry(bool refresh_lookup);
    void finish(caller_outcome outcome);

    caller_request request_;
    http_client& client_;
    lookup_cache& lookups_;
    clock_source const& clock_;
    result_handler on_finished_;
    timer retry_timer_;
    http_head answer_head_;
    pattern_checker answer_checker_;
    std::string ticket_;
    std::string next_ticket_;
    std::size_t next_entry_index_ = 0;
    unsigned sends_ = 0;
    bool idempotent_ = false;
    bool answer_head_received_ = false;
    bool ticket_outcome_unknown_ = false; ///< The ticket was sent and its outcome is not known.
};

} // namespace burdockstep
