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
class directives_reader
{
public:
    using evacuation_handler = std::function<void(std::set<place_name> const&)>;

    directives_reader(gateway_context& context, discovery_store& store_client,
                      store_monitor& monitor, evacuation_handler on_evacuations_changed);

    /// Reads all directives. The answer to a call that is under way is ignored.
    void read_all();
    /// Enables or disables long polling: calls on which the store waits for a change.
    void set_long_polling(bool enabled);
    /// Handles a peer's announcement that directives changed at this position of the store.
    void note_peer_position(store_position change);
    /// Handles the store's return from an older copy: all directives are read again.
    void note_history_replaced(store_era era);

    std::shared_ptr<routing_document const> const& document() const { return routing_document_; }
    /// Position of the store at which the applied directives last changed. Entries announce it to
    /// each other.
    store_position last_change() const { return last_change_; }

private:
    void long_poll();
    void retry(bool is_full_read);
    void handle_answer(discovery_store_answer<operator_directives> const& answer,
                       bool is_full_read);
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
    evacuation_handler on_evacuations_changed_;
    logger log_{"directives"};
    timer retry_timer_;
    std::shared_ptr<routing_document const> routing_document_;
    evacuations evacuations_;
    std::set<place_name> published_evacuations_;
    timer evacuation_timer_;
    store_position position_; ///< Position of the store up to which changes are known.
    store_position last_change_;
    store_position peer_change_; ///< Newest position that a peer has announced.
    /// Number of the latest call: answers to earlier calls are ignored.
    std::uint64_t current_call_ = 0;
    bool call_pending_ = false;
    bool full_read_pending_ = false; ///< A read of all directives is under way or scheduled.
    bool is_long_polling_ = false;
};

} // namespace burdockstep::gateway
