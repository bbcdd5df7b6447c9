/// What the daemon learns from and tells the platform's store, as an abstract interface.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/discovery/upstream_registration.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/routing/routing_document.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace burdockstep {

/// How a call to the store ended.
enum class discovery_store_status
{
    done,
    history_truncated, ///< The changes since that version are gone: read the whole.
    rejected,          ///< The store answered that it did nothing.
    no_answer          ///< Nothing came back in time; a write may still be done.
};

/// Version of the store's data. It grows with each transaction.
using store_version = strong<std::uint64_t, struct store_version_tag>;

/// What the operators direct. Parts that a page doesn't tell of are empty.
struct operator_directives
{
    std::shared_ptr<routing_document const> routing; ///< Null: nothing readable was told.
    std::vector<place_name> evacuated;
    std::vector<place_name> evacuation_lifted; ///< Only in changes.
    /// Version at which the newest of these parts was written. The store's own version also grows
    /// with what others write.
    store_version last_change_version;
};

/// Records of entries: all, or those that changed. One that has gone for good has `leaving` set.
struct entry_records
{
    std::vector<listed_member> entries;
    /// Version at which the newest of them was written.
    store_version last_change_version;
};

/// One answer of the store.
template <class Content>
struct discovery_store_answer
{
    discovery_store_status status = discovery_store_status::no_answer;
    store_version version; ///< The newest version that the content takes into account.
    Content content{};
};

template <class Content>
using discovery_store_handler = std::function<void(discovery_store_answer<Content>)>;

/// The platform's store. Handlers run later, from the loop, once.
class discovery_store
{
public:
    virtual ~discovery_store() = default;

    /// Reads all directives.
    virtual void read_directives(discovery_store_handler<operator_directives> handler) = 0;
    /// Waits at most `max_wait` for a change of directives after a version.
    virtual void await_directive_changes(store_version since_version, duration max_wait,
                                         discovery_store_handler<operator_directives> handler) = 0;
    /// Reads all registrations.
    virtual void
    read_registrations(discovery_store_handler<std::vector<registration_change>> handler) = 0;
    /// Reads the changes of registrations after a version, without waiting.
    virtual void read_registration_changes(
        store_version since_version,
        discovery_store_handler<std::vector<registration_change>> handler) = 0;
    /// Reads the entries that have told of themselves.
    virtual void read_entries(discovery_store_handler<entry_records> handler) = 0;
    /// Waits at most `max_wait` for a change of entries.
    virtual void await_entry_changes(store_version since_version, duration max_wait,
                                     discovery_store_handler<entry_records> handler) = 0;
    /// Tells of this entry. Repeating it does no harm.
    virtual void write_entry(listed_member const& self,
                             std::function<void(discovery_store_status)> handler) = 0;
};

} // namespace burdockstep
