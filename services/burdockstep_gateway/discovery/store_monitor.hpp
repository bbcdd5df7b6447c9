/// Tracks whether the platform's store is reachable from this entry.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"
#include "libraries/discovery/growing_pause.hpp"

#include <array>
#include <functional>

namespace burdockstep::gateway {

/// What a call to the store is made for.
enum class store_call_purpose
{
    directives,
    directive_changes,
    registrations,
    registration_changes,
    entries,
    entry_changes,
    own_entry
};

constexpr std::size_t store_call_purpose_count =
    static_cast<std::size_t>(store_call_purpose::own_entry) + 1;
/// The name of a purpose in metrics, such as "entry-changes".
char const* name_of(store_call_purpose purpose);

/// Counts of calls for one purpose.
struct store_call_counts
{
    std::uint64_t calls = 0;
    std::uint64_t rejected = 0;
    std::uint64_t no_answer = 0;
};

/// Records the results of all calls to the store and posts an event when it becomes reachable or
/// unreachable, or has returned from an older copy.
class store_monitor
{
public:
    /// `on_recovered` runs when the store answers again after an outage.
    store_monitor(gateway_context& context, std::function<void()> on_recovered);

    /// Records the result of an operation that took `calls` calls, and the position that the store
    /// stated in its answer.
    void record_result(store_call_purpose purpose, discovery_store_status status,
                       store_position answered, unsigned calls = 1);
    /// Records a position of the store that another entry has stated.
    void record_peer_position(store_position position);
    /// Records an update from another entry that has just read the store. While the store counts as
    /// reachable this is equivalent to an answer.
    void record_peer_update();
    /// Delay before a failed call is repeated. It grows until the store answers.
    duration next_retry_delay();

    bool is_reachable() const { return is_reachable_; }
    /// The newest era of the store that is known from its answers or from other entries.
    store_era era() const { return newest_.era; }
    /// Number of times that the store has returned from an older copy since the start.
    std::uint64_t replacements() const { return replacements_; }
    std::uint64_t calls() const { return calls_; }
    store_call_counts const& counts(store_call_purpose purpose) const
    {
        return counts_[static_cast<std::size_t>(purpose)];
    }

private:
    void record_answer();
    void note_position(store_position position, bool from_peer);

    gateway_context& context_;
    std::function<void()> on_recovered_;
    logger log_{"store-contact"};
    bool is_reachable_ = false;
    bool has_been_reachable_ = false; ///< The store has answered at least once.
    time_point last_answer_at_;
    growing_pause retry_pause_{growing_pause_options{}};
    store_position newest_;  ///< The newest position stated so far.
    bool knows_era_ = false; ///< The store or another entry has stated its era.
    std::uint64_t replacements_ = 0;
    std::uint64_t calls_ = 0;
    std::array<store_call_counts, store_call_purpose_count> counts_{};
};

} // namespace burdockstep::gateway
