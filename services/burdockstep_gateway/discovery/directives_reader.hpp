/// Reads the operators' directives from the platform's store.
#pragma once

#include "services/burdockstep_gateway/discovery/store_monitor.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"
#include "libraries/discovery/evacuations.hpp"

#include <functional>
#include <set>

namespace burdockstep::gateway {

/// Keeps the routing document and the set of evacuated places up to date. While long polling is
/// enabled it waits at the store for changes; otherwise it reads the directives when a peer
/// announces a newer position.
///
/// Each answer shows that the applied directives were the newest ones when its call began. Where
/// that must be known at any time, calls wait only shortly, and the next one begins even if the
/// store hasn't answered the last.
class directives_reader
{
public:
    /// Callbacks of the reader to its owner.
    struct reader_callbacks
    {
        std::function<void(std::set<place_name> const&)> on_evacuations_changed;
        /// The applied directives were the newest ones at this time.
        std::function<void(time_point)> on_confirmed;
    };

    directives_reader(gateway_context& context, discovery_store& store_client,
                      store_monitor& monitor, reader_callbacks callbacks);

    /// Reads all directives. The answer to a call that is under way is ignored.
    void read_all();
    /// Enables or disables long polling: calls on which the store waits for a change.
    void set_long_polling(bool enabled);
    /// Sets whether the directives must be confirmed at short intervals while long polling.
    void set_confirms_often(bool often) { confirms_often_ = often; }
    /// Reads the changes without waiting for one, unless a read is under way.
    void read_changes_now();
    /// Handles a peer's announcement that directives changed at this position of the store.
    void note_peer_position(store_position change);
    /// Repeats a failed read of all directives now instead of after its pause, if the last call
    /// began at least `min_interval` ago.
    void hasten_read(duration min_interval);
    /// Handles the store's return from an older copy: all directives are read again.
    void note_history_replaced(store_era era);

    std::shared_ptr<routing_document const> const& document() const { return routing_document_; }
    /// True if the newest document couldn't be parsed, so that an older one is in use.
    bool is_document_outdated() const { return document_is_unreadable_; }
    /// Position of the store at which the applied directives last changed. Entries announce it to
    /// each other.
    store_position last_change() const { return last_change_; }

private:
    /// A call under way.
    struct store_call
    {
        std::uint64_t number = 0;
        time_point started;
        bool is_full_read = false;
    };

    void long_poll();
    void read_changes(duration max_wait);
    /// Begins the next call if the store doesn't answer the last one in time.
    void schedule_overlapping_poll();
    void retry(store_call const& call);
    void handle_answer(discovery_store_answer<operator_directives> const& answer,
                       store_call const& call);
    void apply_answer(discovery_store_answer<operator_directives> const& answer,
                      store_call const& call);
    void update_evacuations(discovery_store_answer<operator_directives> const& answer,
                            bool is_full_read);
    void apply_document(std::shared_ptr<routing_document const> document);
    /// Ends evacuations that the store has lacked for too long.
    void expire_evacuations();
    void publish_evacuations(store_position position);
    void set_last_change(store_position change);

    gateway_context& context_;
    discovery_store& store_client_;
    store_monitor& store_monitor_;
    reader_callbacks callbacks_;
    logger log_{"directives"};
    timer retry_timer_;
    timer overlap_timer_;
    std::shared_ptr<routing_document const> routing_document_;
    evacuations evacuations_;
    std::set<place_name> published_evacuations_;
    timer evacuation_timer_;
    store_position position_; ///< Position of the store up to which changes are known.
    store_position last_change_;
    store_position peer_change_;  ///< Newest position that a peer has announced.
    std::uint64_t last_call_ = 0; ///< Number of the latest call.
    /// Answers to earlier calls are ignored: a later one has been applied, or all is read anew.
    std::uint64_t oldest_valid_call_ = 0;
    unsigned reads_of_changes_under_way_ = 0;
    time_point last_call_began_at_;
    bool call_pending_ = false;        ///< The latest call is under way or scheduled.
    bool full_read_scheduled_ = false; ///< A read of all directives waits for its pause to end.
    bool confirms_often_ = false;
    /// The newest document couldn't be read, so that nothing is known of what it says.
    bool document_is_unreadable_ = false;
    bool full_read_pending_ = false; ///< A read of all directives is under way or scheduled.
    bool is_long_polling_ = false;
};

} // namespace burdockstep::gateway
