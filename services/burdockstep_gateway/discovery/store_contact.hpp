/// Whether the platform's store answers this entry.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"

#include <functional>

namespace burdockstep::gateway {

/// Judges the ends of all calls to the store and tells the other tasks when it is lost or regained.
class store_contact
{
public:
    /// `on_return` runs when the store answers again after it was away.
    store_contact(gateway_context& context, std::function<void()> on_return);

    /// Takes how a call ended.
    void note(discovery_store_status status);
    /// Another entry has told what it read just now, which is as good as an answer.
    void note_news();
    /// How long to wait before a failed call is repeated. Entries that failed together spread out.
    duration retry_pause();

    bool is_reachable() const { return reachable_; }
    std::uint64_t calls() const { return calls_; }

private:
    void note_answer();

    gateway_context& context_;
    std::function<void()> on_return_;
    logger log_{"store-contact"};
    bool reachable_ = false;
    bool was_reachable_ = false; ///< Once at least.
    time_point last_contact_;
    unsigned failures_in_row_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace burdockstep::gateway
