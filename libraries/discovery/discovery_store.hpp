/// Abstract interface of the platform's store, as discovery uses it.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/store_position.hpp"
#include "libraries/discovery/upstream_registration.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/routing/routing_document.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace burdockstep {

/// How a call to the store ended.
enum class discovery_store_status
{
    done,
    history_truncated, ///< The store no longer has the changes since that version: read everything.
    rejected,          ///< No effect: the store refused the call or was unreachable.
    no_answer          ///< No answer arrived in time; a write may still take effect.
};

/// Routing and evacuations as set by the operators. Parts that an answer doesn't mention are empty.
struct operator_directives
{
    std::shared_ptr<routing_document const> routing; ///< Null: absent or unreadable.
    bool routing_is_unreadable = false;
    std::vector<place_name> evacuated;
    std::vector<place_name> evacuation_lifted; ///< Only in answers that list changes.
    /// Position at which the newest of these parts was written. The version of the store itself
    /// also increases when other data is written.
    store_position last_change;
};

/// Records of entries: all of them, or those that changed. An entry that has left for good has
/// `leaving` set.
struct entry_records
{
    std::vector<listed_member> entries;
    /// Position at which the newest of these records was written.
    store_position last_change;
};

/// Outcome of one call to the store, with its content.
template <class Content>
struct discovery_store_answer
{
    discovery_store_status status = discovery_store_status::no_answer;
    /// The content includes all changes up to this position. Its era is set in all answers, its
    /// version only if the call is done.
    store_position position;
    unsigned calls = 1; ///< Calls to the store that it took: one for each page.
    Content content{};
};

template <class Content>
using discovery_store_handler = std::function<void(discovery_store_answer<Content>)>;

/// Outcome of a write to the store.
struct discovery_store_write
{
    discovery_store_status status = discovery_store_status::no_answer;
    store_era era;
};

/// The platform's store. Each handler is called exactly once, later, from the event loop.
class discovery_store
{
public:
    virtual ~discovery_store() = default;

    /// Reads all directives.
    virtual void read_directives(discovery_store_handler<operator_directives> handler) = 0;
    /// Waits up to `max_wait` for directives that were changed after a version.
    virtual void await_directive_changes(store_position since, duration max_wait,
                                         discovery_store_handler<operator_directives> handler) = 0;
    /// Reads all registrations.
    virtual void
    read_registrations(discovery_store_handler<std::vector<registration_change>> handler) = 0;
    /// Reads the registrations that were changed after a version, without waiting.
    virtual void read_registration_changes(
        store_position since,
        discovery_store_handler<std::vector<registration_change>> handler) = 0;
    /// Reads all records that entries have written of themselves.
    virtual void read_entries(discovery_store_handler<entry_records> handler) = 0;
    /// Waits up to `max_wait` for records of entries that were changed after a version.
    virtual void await_entry_changes(store_position since, duration max_wait,
                                     discovery_store_handler<entry_records> handler) = 0;
    /// Writes the record of this entry. The call is idempotent.
    virtual void write_entry(listed_member const& self,
                             std::function<void(discovery_store_write)> handler) = 0;
};

} // namespace burdockstep
