/// The operators' directives as the store has them.
#pragma once

#include "services/burdockstep_gateway/discovery/store_contact.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"

#include <functional>
#include <set>

namespace burdockstep::gateway {

/// Keeps the routing document and the evacuated places up to date: it waits at the store for
/// changes while it is told to follow, else it reads when a peer tells of one.
class directives_reader
{
public:
    using evacuation_handler = std::function<void(std::set<place_name> const&)>;

    directives_reader(gateway_context& context, discovery_store& source, store_contact& contact,
                      evacuation_handler on_evacuations);

    /// Reads all directives, whatever is under way.
    void read();
    /// Whether this entry waits at the store for changes.
    void set_following(bool following);
    /// A peer has seen directives that were changed at this version of the store.
    void take_word(std::uint64_t changed);

    std::shared_ptr<routing_document const> const& document() const { return document_; }
    /// When the directives in force were last changed, as entries tell one another.
    std::uint64_t changed_at() const { return changed_at_; }

private:
    void follow();
    void retry(bool whole);
    void take(discovery_store_answer<operator_directives> const& answer, bool whole);
    void take_evacuations(discovery_store_answer<operator_directives> const& answer, bool whole);
    void adopt(std::shared_ptr<routing_document const> document);
    void note_changed(std::uint64_t changed);

    gateway_context& context_;
    discovery_store& source_;
    store_contact& contact_;
    evacuation_handler on_evacuations_;
    logger log_{"directives"};
    timer retry_timer_;
    std::shared_ptr<routing_document const> document_;
    std::set<place_name> evacuated_;
    store_version version_; ///< The store's, up to which changes are known.
    std::uint64_t changed_at_ = 0;
    std::uint64_t wanted_ = 0; ///< A peer has seen this change.
    /// Number of the call under way: answers to earlier ones are dropped.
    std::uint64_t call_ = 0;
    bool under_way_ = false;
    bool reading_ = false; ///< A whole read is under way, or due.
    bool following_ = false;
};

} // namespace burdockstep::gateway
