/// Reads the registry of upstreams from the platform's store.
#pragma once

#include "services/burdockstep_gateway/discovery/store_monitor.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"
#include "libraries/discovery/registry_repair.hpp"
#include "libraries/discovery/registry_update.hpp"
#include "libraries/discovery/upstream_registry.hpp"

#include <functional>
#include <optional>
#include <string>

namespace burdockstep::gateway {

/// Keeps the upstream registry up to date. The registry readers, two entries that read on behalf of
/// all, read changes at intervals; every other entry applies their updates and reads changes itself
/// only when updates fail to arrive.
class registrations_reader
{
public:
    /// Callbacks of the reader to its owner.
    struct reader_callbacks
    {
        std::function<void()> on_update_timeout; ///< No update arrived in time.
        /// Changes that this entry has read on behalf of all, ready to be sent.
        std::function<void(std::vector<wire::registry_update_message>)> on_changes_read;
    };

    registrations_reader(gateway_context& context, discovery_store& store_client,
                         store_monitor& monitor, reader_callbacks callbacks);

    /// Starts the first read, which reads the whole registry.
    void start() { start_read(); }
    /// Sets whether this entry reads the registry on behalf of all. A new reader reads immediately.
    void set_is_registry_reader(bool is_reader);
    /// Sets the number of live entries, including this one.
    void set_entries(std::size_t entries) { entries_ = entries; }
    /// Reads immediately, because the known state may be out of date.
    void read_now();
    /// Handles the store's recovery from an outage: the next read reads the whole registry.
    void note_store_returned();
    /// Handles the store's return from an older copy: the whole registry is read again.
    void note_history_replaced(store_era era);
    /// Applies changes that another entry has read. Returns false when changes are missing, so that
    /// this entry must read the registry itself.
    bool handle_update(assembled_registry_update const& update);
    /// Returns a question for the update's sender if it knows other upstreams as registered.
    std::optional<wire::registry_question> compare_digest(assembled_registry_update const& update);
    registry_repair_answer answer(wire::registry_question const& question);
    /// Merges what another entry knows.
    void handle_records(wire::registry_records_message const& message);
    /// Digest of the upstreams that this entry knows as registered.
    std::uint64_t registered_digest() const;

    upstream_registry& registry() { return registry_; }
    upstream_registry const& registry() const { return registry_; }
    store_position position() const { return position_; }
    bool has_full_registry() const { return has_full_registry_; }
    /// Posts the upstreams to the other tasks if any of them has changed.
    void publish_upstreams();
    void write_metrics(std::string& out) const;

private:
    void report_refused_registrations();
    void start_read();
    void handle_answer(discovery_store_answer<std::vector<registration_change>> const& answer,
                       bool is_full_read);
    void apply_answer(discovery_store_answer<std::vector<registration_change>> const& answer,
                      bool is_full_read);
    duration read_interval() const;
    void schedule_read(duration delay);

    gateway_context& context_;
    discovery_store& store_client_;
    store_monitor& store_monitor_;
    reader_callbacks callbacks_;
    logger log_{"registrations"};
    upstream_registry registry_;
    timer read_timer_;
    registry_repair repair_;
    store_position position_;
    std::uint64_t published_changes_ = 0;
    std::uint64_t reported_refusals_ = 0;
    bool is_registry_reader_ = false;
    bool has_received_update_ = false;
    bool has_full_registry_ = false;
    bool history_truncated_ = false; ///< The next full read is announced by its differences.
    bool read_pending_ = false;
    /// The readers are silent, and this entry sends what it reads to all in their place.
    bool stands_in_for_readers_ = false;
    std::size_t entries_ = 1;
};

} // namespace burdockstep::gateway
