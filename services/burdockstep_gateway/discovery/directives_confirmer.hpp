/// Learns how new this entry's directives are, from the store and from other entries.
#pragma once

#include "services/burdockstep_gateway/discovery/directives_reader.hpp"
#include "services/burdockstep_gateway/discovery/store_monitor.hpp"
#include "services/burdockstep_gateway/task.hpp"

#include "libraries/discovery/directives_confirmation.hpp"

namespace burdockstep::gateway {

/// Carries out what `directives_confirmation` decides, and posts each newer proof.
class directives_confirmer
{
public:
    directives_confirmer(gateway_context& context, directives_reader& reader,
                         store_monitor& monitor);

    /// Takes an answer of the store to a call that began at `call_started`.
    void handle_store_answer(time_point call_started);
    /// Call it when the reader has applied directives.
    void handle_applied();
    void note_era(store_era era) { confirmation_.note_era(era); }
    void set_reads_store(bool reads) { confirmation_.set_reads_store(reads); }
    void set_members(std::vector<member_view> const& members);
    void receive(event const& new_event);
    void write_metrics(std::string& out) const;

private:
    /// Asks while the configuration in force identifies callers.
    void update_activity();
    void execute(confirmation_actions const& actions);
    void publish();
    /// The least time between the start of a failed read and its early repeat.
    duration hasten_interval() const;
    void schedule_tick();

    gateway_context& context_;
    directives_reader& reader_;
    store_monitor& store_monitor_;
    directives_confirmation confirmation_;
    timer tick_timer_;
    std::optional<time_point> published_;
    std::size_t entries_ = 0; ///< Number of listed entries.
};

} // namespace burdockstep::gateway
