/// Keeps directives, registrations and entries in step with the platform's store.
#pragma once

#include "services/burdockstep_gateway/discovery/directives_confirmer.hpp"
#include "services/burdockstep_gateway/discovery/directives_reader.hpp"
#include "services/burdockstep_gateway/discovery/entries_reader.hpp"
#include "services/burdockstep_gateway/discovery/registrations_reader.hpp"
#include "services/burdockstep_gateway/discovery/store_monitor.hpp"
#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"

#include <set>

namespace burdockstep::gateway {

/// Owns the readers of the store and decides whether this entry long-polls the store. Two entries
/// do so on behalf of all; an entry that receives no updates from those two also does.
class discovery_task final : public task
{
public:
    discovery_task(gateway_context& context, discovery_store& store_client);

    std::string_view name() const override { return "discovery"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;
    void write_metrics(std::string& out) const override;

private:
    void update_evacuations(std::set<place_name> const& evacuated);
    void handle_update(address const& sender, wire::registry_update_message const& update);
    void handle_question(registry_question_received const& asked);
    void broadcast_updates(std::vector<wire::registry_update_message> update_pieces);
    void broadcast_directives_version();
    void end_startup();
    void set_is_registry_reader(bool is_reader);
    void set_receives_updates(bool are_received);
    void update_long_polling();

    gateway_context& context_;
    logger log_{"discovery"};
    store_monitor store_monitor_;
    directives_reader directives_reader_;
    directives_confirmer directives_confirmer_;
    registrations_reader registrations_reader_;
    entries_reader entries_reader_;
    registry_update_assembler update_assembler_;
    /// Ends the time in which this entry doesn't yet know the others, so that it can't tell who
    /// reads the store for all.
    timer startup_timer_;
    bool startup_is_over_ = false;
    bool is_chosen_reader_ = false; ///< Takes effect when the startup is over.
    bool is_registry_reader_ = false;
    bool receives_updates_ = true; ///< Assumed until an update is overdue.
    std::uint64_t updates_received_ = 0;
};

} // namespace burdockstep::gateway
