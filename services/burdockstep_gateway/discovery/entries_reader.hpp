/// This entry's record in the store, and the records of the others.
#pragma once

#include "services/burdockstep_gateway/discovery/store_monitor.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"

namespace burdockstep::gateway {

/// Writes this entry's record and keeps the list of entries up to date: it waits at the store for
/// changes while it is told to follow, and tells the other entries of them; else it takes theirs.
class entries_reader
{
public:
    entries_reader(gateway_context& context, discovery_store& store_client, store_monitor& monitor);

    void start();
    /// Whether this entry waits at the store for changes.
    void set_long_polling(bool enabled);
    /// Whether it tells the other entries of changes.
    void set_announces_changes(bool announces) { announces_changes_ = announces; }
    /// Another entry tells what changed.
    void handle_update(wire::entries_update_message const& update);
    /// A peer knows of a change of the list at this version of the store.
    void note_peer_version(std::uint64_t change_version);

    /// When the list was last changed, as entries tell one another.
    std::uint64_t last_change_version() const { return last_change_version_; }

private:
    using entries_answer = discovery_store_answer<entry_records>;

    listed_member own_record() const;
    void write_own_record();
    void read_all();
    void poll_after_jitter();
    void long_poll(duration max_wait);
    void handle_full_list(entries_answer const& answer);
    void handle_changes(entries_answer const& answer);
    void retry(bool is_full_list);
    void finish_call();

    gateway_context& context_;
    discovery_store& store_client_;
    store_monitor& store_monitor_;
    logger log_{"entries"};
    timer write_timer_;
    timer read_timer_;
    store_version version_; ///< The store's, up to which changes are known.
    std::uint64_t last_change_version_ = 0;
    std::uint64_t peer_change_version_ = 0; ///< A peer knows of this change.
    bool first_read_done_ = false;
    bool call_pending_ = false; ///< A call, or the pause before one.
    bool is_long_polling_ = false;
    bool announces_changes_ = true;
};

} // namespace burdockstep::gateway
