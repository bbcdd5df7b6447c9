/// Whether the platform's store answers this entry.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"

#include <functional>

namespace burdockstep::gateway {

/// Judges the ends of all calls to the store and tells the other tasks when it is lost or regained.
class store_monitor
{
public:
    /// `on_recovered` runs when the store answers again after it was away.
    store_monitor(gateway_context& context, std::function<void()> on_recovered);

    /// Takes how a call ended.
    void record_result(discovery_store_status status);
    /// Another entry has told what it read just now, which is as good as an answer.
    void record_peer_update();
    /// How long to wait before a failed call is repeated. Entries that failed together spread out.
    duration next_retry_delay();

    bool is_reachable() const { return is_reachable_; }
    std::uint64_t calls() const { return calls_; }

private:
    void record_answer();

    gateway_context& context_;
    std::function<void()> on_recovered_;
    logger log_{"store-contact"};
    bool is_reachable_ = false;
    bool has_been_reachable_ = false; ///< Once at least.
    time_point last_answer_at_;
    unsigned consecutive_failures_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace burdockstep::gateway
