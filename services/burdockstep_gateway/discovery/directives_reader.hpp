/// Reads the operators' directives from the platform's store.
#pragma once

#include "services/burdockstep_gateway/discovery/store_monitor.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"

#include <functional>
#include <set>

namespace burdockstep::gateway {

/// Keeps the routing document and the set of evacuated places up to date. While long polling is
/// enabled it waits at the store for changes; otherwise it reads the directives when a peer
/// announces a newer version.
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
    /// Handles a peer's announcement that directives changed at this version of the store.
    void note_peer_version(std::uint64_t change_version);

    std::shared_ptr<routing_document const> const& document() const { return routing_document_; }
    /// Version of the store at which the applied directives last changed. Entries announce it to
    /// each other.
    std::uint64_t last_change_version() const { return last_change_version_; }

private:
    void long_poll();
    void retry(bool is_full_read);
    void handle_answer(discovery_store_answer<operator_directives> const& answer,
                       bool is_full_read);
    void update_evacuations(discovery_store_answer<operator_directives> const& answer,
                            bool is_full_read);
    void apply_document(std::shared_ptr<routing_document const> document);
    void set_last_change_version(std::uint64_t change_version);

    gateway_context& context_;
    discovery_store& store_client_;
    store_monitor& store_monitor_;
    evacuation_handler on_evacuations_changed_;
    logger log_{"directives"};
    timer retry_timer_;
    std::shared_ptr<routing_document const> routing_document_;
    std::set<place_name> evacuated_places_;
    store_version version_; ///< Version of the store up to which changes are known.
    std::uint64_t last_change_version_ = 0;
    std::uint64_t peer_change_version_ = 0; ///< Newest version that a peer has announced.
    /// Number of the latest call: answers to earlier calls are ignored.
    std::uint64_t current_call_ = 0;
    bool call_pending_ = false;
    bool full_read_pending_ = false; ///< A read of all directives is under way or scheduled.
    bool is_long_polling_ = false;
};

} // namespace burdockstep::gateway
