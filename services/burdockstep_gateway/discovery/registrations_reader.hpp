/// The registry of upstreams as the store has it.
#pragma once

#include "services/burdockstep_gateway/discovery/store_monitor.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"
#include "libraries/discovery/registry_update.hpp"
#include "libraries/discovery/upstream_registry.hpp"

#include <functional>

namespace burdockstep::gateway {

/// Keeps the upstream registry up to date. It reads changes in intervals while it reads for others
/// or hears nothing from those who do; else it takes their news.
class registrations_reader
{
public:
    /// What the reader tells.
    struct reader_callbacks
    {
        std::function<void()> on_update_timeout; ///< No news was heard for longer than usual.
        /// This entry has read for the others.
        std::function<void(std::vector<wire::registry_update_message>)> on_changes_read;
    };

    registrations_reader(gateway_context& context, discovery_store& store_client,
                         store_monitor& monitor, reader_callbacks callbacks);

    void start() { start_read(); }
    /// Whether this entry reads the registry for the others.
    void set_is_registry_reader(bool is_reader) { is_registry_reader_ = is_reader; }
    /// Reads now, whatever the interval: what is known may have aged.
    void read_now();
    /// The store answers again after it was away.
    void note_store_returned();
    /// Another entry tells what it read. Returns false when this entry must read by itself.
    bool handle_update(assembled_registry_update const& update);

    upstream_registry& registry() { return registry_; }
    store_version version() const { return version_; }
    bool has_full_registry() const { return has_full_registry_; }
    /// Tells the other tasks of the upstreams, where anything has changed.
    void publish_upstreams();

private:
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
    store_version version_;
    std::uint64_t published_changes_ = 0;
    bool is_registry_reader_ = true;
    bool has_full_registry_ = false;
    bool history_truncated_ = false; ///< Else the registry is known up to `version_`.
    bool read_pending_ = false;
};

} // namespace burdockstep::gateway
