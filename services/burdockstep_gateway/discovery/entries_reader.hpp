/// Writes this entry's record to the platform's store and reads the records of the other entries.
#pragma once

#include "services/burdockstep_gateway/discovery/store_monitor.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"
#include "libraries/discovery/growing_pause.hpp"

namespace burdockstep::gateway {

/// Writes this entry's record and keeps the list of entries up to date. While long polling is
/// enabled it waits at the store for changes; otherwise it applies the updates of other entries and
/// polls the store when it misses one.
class entries_reader
{
public:
    entries_reader(gateway_context& context, discovery_store& store_client, store_monitor& monitor);

    /// Publishes this entry's own record and schedules the first read, after which the record is
    /// written unless the list already has it.
    void start();
    /// Enables or disables long polling: calls on which the store waits for a change.
    void set_long_polling(bool enabled);
    /// Sets whether changes read from the store are sent to the other entries.
    void set_announces_changes(bool announces) { announces_changes_ = announces; }
    /// Applies changes that another entry has read.
    void handle_update(wire::entries_update_message const& update);
    /// Handles a peer's announcement that the list changed at this position of the store.
    void note_peer_position(store_position change);
    /// Handles the store's return from an older copy: the whole list is read again, and this
    /// entry's record is written again if the copy lacks it.
    void note_history_replaced(store_era era);

    /// Position of the store at which the list last changed. Entries announce it to each other.
    store_position last_change() const { return last_change_; }

private:
    using entries_answer = discovery_store_answer<entry_records>;

    listed_member own_record() const;
    void write_own_record();
    void write_own_record_unless_in(std::vector<listed_member> const& entries);
    void read_all();
    void read_all_after_delay();
    void poll_after_pause();
    void long_poll(duration max_wait);
    void handle_full_list(entries_answer const& answer);
    void handle_changes(entries_answer const& answer);
    /// Sends changes that were read from the store, and the capacities in them, to all entries.
    void announce(wire::entries_update_message const& update,
                  std::vector<listed_member> const& changed);
    void retry(bool is_full_list);
    void finish_call();

    gateway_context& context_;
    discovery_store& store_client_;
    store_monitor& store_monitor_;
    logger log_{"entries"};
    timer write_timer_;
    timer read_timer_;
    store_position position_; ///< Position of the store up to which changes are known.
    store_position last_change_;
    store_position peer_change_; ///< Newest position that a peer has announced.
    /// Number of the latest read: answers to earlier reads are ignored.
    std::uint64_t current_read_ = 0;
    bool full_read_pending_ = false; ///< A read of the whole list is under way or scheduled.
    /// Grows while changes keep coming: when many entries start together, each record written
    /// would otherwise end the long polls of all entries.
    growing_pause poll_pause_;
    growing_pause write_pause_;
    bool first_read_done_ = false;
    bool call_pending_ = false; ///< A call is under way or scheduled.
    bool is_long_polling_ = false;
    bool announces_changes_ = true;
};

} // namespace burdockstep::gateway
