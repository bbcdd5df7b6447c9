/// Tracks whether the platform's store is reachable from this entry.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"

#include <functional>

namespace burdockstep::gateway {

/// Records the results of all calls to the store and posts an event when it becomes reachable or
/// unreachable.
class store_monitor
{
public:
    /// `on_recovered` runs when the store answers again after an outage.
    store_monitor(gateway_context& context, std::function<void()> on_recovered);

    /// Records the result of a call.
    void record_result(discovery_store_status status);
    /// Records an update from another entry that has just read the store. While the store counts as
    /// reachable this is equivalent to an answer.
    void record_peer_update();
    /// Delay before a failed call is repeated, randomised so that entries whose calls failed
    /// together do not retry together.
    duration next_retry_delay();

    bool is_reachable() const { return is_reachable_; }
    std::uint64_t calls() const { return calls_; }

private:
    void record_answer();

    gateway_context& context_;
    std::function<void()> on_recovered_;
    logger log_{"store-contact"};
    bool is_reachable_ = false;
    bool has_been_reachable_ = false; ///< The store has answered at least once.
    time_point last_answer_at_;
    unsigned consecutive_failures_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace burdockstep::gateway
