/// One entry instance in virtual time: the daemon's decision classes without its sockets.
#pragma once

#include "tests/simulation/simulation.hpp"

#include "libraries/membership/leaving_upstream_tracker.hpp"

namespace burdockstep::testing {

/// Wraps the engine, the directory and the follower of one instance, over all its runs.
class simulated_entry
{
public:
    simulated_entry(simulation& simulation, listed_member listed);

    listed_member const& listed() const { return listed_; }
    bool is_running() const { return engine_ != nullptr; }
    bool is_paused() const { return simulation_.queue_.now() < paused_until_; }
    time_point paused_until() const { return paused_until_; }
    entry_engine const& engine() const { return *engine_; }
    configuration_version version() const;
    /// True when the entry has run without a pause or restart for that long.
    bool uninterrupted_for(duration span) const;
    std::vector<member_view> members() const { return directory_->members(); }

    void start();
    void crash();
    void pause(duration span);

    /// A request arrives; the handler gets the answer, or a broken end if the entry crashes.
    void receive(simulated_request const& request, simulation::answer_handler const& handler);
    void receive(address const& from, wire::message const& message);
    /// Another entry asks for the state in force.
    std::shared_ptr<configuration_in_force const> in_force() const { return follower_->in_force(); }

private:
    struct pending_call
    {
        simulated_request request;
        simulation::answer_handler handler;
    };

    void execute(entry_engine::commands const& commands);
    void execute(std::vector<follower_command> const& commands);
    void send(request_id id, address const& to, simulated_request const& request);
    void reply(request_id id, simulated_answer const& answer);
    void tick();
    void send_heartbeat();
    void poll_store();
    /// Runs the action now, after the pause, or not at all when this run of the entry has ended.
    void run_when_resumed(std::function<void()> action);

    simulation& simulation_;
    listed_member listed_;
    std::uint64_t run_number_ = 0;
    std::unique_ptr<entry_engine> engine_;
    std::unique_ptr<member_directory> directory_;
    std::unique_ptr<configuration_follower> follower_;
    std::map<request_id, pending_call> pending_calls_;
    std::map<request_id, simulated_answer> pending_answers_;
    std::map<request_id, upstream_name> current_upstreams_;
    std::map<request_id, std::shared_ptr<bool>> abandoned_flags_; ///< Set when a send is given up.
    leaving_upstream_tracker leaving_upstreams_;
    std::uint64_t next_request_id_ = 1;
    std::uint64_t adopted_version_ = 0; ///< Taken up by this run.
    time_point paused_until_;
    time_point uninterrupted_since_;
};

} // namespace burdockstep::testing
