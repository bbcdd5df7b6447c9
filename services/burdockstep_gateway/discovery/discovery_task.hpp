/// Follows the platform's store: directives, registrations, entries.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/platform_source.hpp"
#include "libraries/discovery/upstream_registry.hpp"

#include <set>

namespace burdockstep::gateway {

/// Owns the upstream registry and the part of the directives that is in force.
class discovery_task final : public task
{
public:
    discovery_task(gateway_context& context, platform_source& source);

    std::string_view name() const override { return "discovery"; }
    result<void> try_start() override;
    void receive(event const& what) override;
    void write_metrics(std::string& out) const override;

private:
    void read_directives();
    void note_directives_changed(std::uint64_t changed);
    void follow_directives();
    void take_directives(source_answer<operator_directives> const& answer, bool whole);
    void adopt(std::shared_ptr<routing_document const> document);
    void read_registrations();
    void take_registrations(source_answer<std::vector<registration_change>> const& answer,
                            bool whole);
    void take_news(wire::registry_news const& news);
    duration read_interval() const;
    void write_own_entry();
    void read_entries();
    void follow_entries();
    void note_contact(source_status status);
    void publish_upstreams();
    duration retry_pause();
    listed_member own_entry() const;

    gateway_context& context_;
    platform_source& source_;
    logger log_{"discovery"};
    upstream_registry registry_;
    timer directives_timer_;
    timer registrations_timer_;
    timer entries_timer_;
    timer own_entry_timer_;
    std::shared_ptr<routing_document const> document_;
    std::set<place_name> evacuated_;
    store_version directives_version_; ///< The store's, up to which changes are known.
    /// When the directives in force were last changed, as entries tell one another.
    std::uint64_t directives_changed_ = 0;
    std::uint64_t wanted_directives_ = 0; ///< A peer has seen this change.
    store_version registrations_version_;
    store_version entries_version_;
    std::uint64_t published_changes_ = 0;
    /// Number of the directives' call under way: answers to earlier ones are dropped.
    std::uint64_t directives_call_ = 0;
    bool reading_directives_ = false; ///< A whole read is under way.
    bool reads_for_others_ = true;
    bool registrations_known_ = false;
    bool reading_registrations_ = false;
    bool reachable_ = false;
    bool was_reachable_ = false; ///< Once at least.
    time_point last_contact_;
    std::uint64_t calls_ = 0;
    std::uint64_t news_taken_ = 0;
};

} // namespace burdockstep::gateway
