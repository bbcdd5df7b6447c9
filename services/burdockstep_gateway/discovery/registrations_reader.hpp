/// The registry of upstreams as the store has it.
#pragma once

#include "services/burdockstep_gateway/discovery/store_contact.hpp"

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
    struct handlers
    {
        std::function<void()> on_silence; ///< No news was heard for longer than usual.
        /// This entry has read for the others.
        std::function<void(std::vector<wire::registry_update_message>)> on_read;
    };

    registrations_reader(gateway_context& context, discovery_store& source, store_contact& contact,
                         handlers tell);

    void start() { read(); }
    /// Whether this entry reads the registry for the others.
    void set_reading_for_others(bool reading) { reads_for_others_ = reading; }
    /// Reads now, whatever the interval: what is known may have aged.
    void read_anew();
    /// The store answers again after it was away.
    void note_store_returned();
    /// Another entry tells what it read. Returns false when this entry must read by itself.
    bool take_news(assembled_registry_update const& news);

    upstream_registry& registry() { return registry_; }
    store_version version() const { return version_; }
    bool is_known() const { return known_; }
    /// Tells the other tasks of the upstreams, where anything has changed.
    void publish();

private:
    void read();
    void take(discovery_store_answer<std::vector<registration_change>> const& answer, bool whole);
    void apply(discovery_store_answer<std::vector<registration_change>> const& answer, bool whole);
    duration interval() const;
    void read_after(duration pause);

    gateway_context& context_;
    discovery_store& source_;
    store_contact& contact_;
    handlers tell_;
    logger log_{"registrations"};
    upstream_registry registry_;
    timer read_timer_;
    store_version version_;
    std::uint64_t published_changes_ = 0;
    bool reads_for_others_ = true;
    bool known_ = false;
    bool history_lost_ = false; ///< Else the registry is known up to `version_`.
    bool reading_ = false;
};

} // namespace burdockstep::gateway
