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
enum class source_status
{
    done,
    history_lost, ///< The changes since that version are gone: read the whole.
    turned_away,  ///< The store answered that it did nothing.
    no_answer     ///< Nothing came back in time; a write may still be done.
};

/// Version of the store's data. It grows with each transaction.
using store_version = strong<std::uint64_t, struct store_version_tag>;

/// What the operators direct. Parts that a page doesn't tell of are empty.
struct operator_directives
{
    std::shared_ptr<routing_document const> routing; ///< Null: nothing readable was told.
    std::vector<place_name> evacuated;
    std::vector<place_name> taken_back; ///< Only in changes.
    /// Version at which the newest of these parts was written. The store's own version also grows
    /// with what others write.
    store_version changed_at;
};

/// Records of entries: all, or those that changed. One that has gone for good has `leaving` set.
struct entry_records
{
    std::vector<listed_member> entries;
    /// Version at which the newest of them was written.
    store_version changed_at;
};

/// One answer of the store.
template <class Content>
struct source_answer
{
    source_status status = source_status::no_answer;
    store_version version; ///< The newest version that the content takes into account.
    Content content{};
};

template <class Content>
using source_handler = std::function<void(source_answer<Content>)>;

/// The platform's store. Handlers run later, from the loop, once.
class platform_source
{
public:
    virtual ~platform_source() = default;

    /// Reads all directives.
    virtual void read_directives(source_handler<operator_directives> handler) = 0;
    /// Waits at most `patience` for a change of directives after a version.
    virtual void follow_directives(store_version after, duration patience,
                                   source_handler<operator_directives> handler) = 0;
    /// Reads all registrations.
    virtual void read_registrations(source_handler<std::vector<registration_change>> handler) = 0;
    /// Reads the changes of registrations after a version, without waiting.
    virtual void follow_registrations(store_version after,
                                      source_handler<std::vector<registration_change>> handler) = 0;
    /// Reads the entries that have told of themselves.
    virtual void read_entries(source_handler<entry_records> handler) = 0;
    /// Waits at most `patience` for a change of entries.
    virtual void follow_entries(store_version after, duration patience,
                                source_handler<entry_records> handler) = 0;
    /// Tells of this entry. Repeating it does no harm.
    virtual void write_entry(listed_member const& self,
                             std::function<void(source_status)> handler) = 0;
};

} // namespace burdockstep
