/// An entry instance in virtual time: the daemon's decision logic without its sockets.
#pragma once

#include "tests/simulation/simulation.hpp"

#include "libraries/membership/leaving_upstream_tracker.hpp"

namespace burdockstep::testing {

/// Drives the entry engine, member directory and configuration follower of one instance. The object
/// outlives crashes: `start` creates these three anew for each run.
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
    /// True if the entry has run without a pause or restart for at least `span`.
    bool uninterrupted_for(duration span) const;
    std::vector<member_view> members() const { return directory_->members(); }

    void start();
    void crash();
    void pause(duration span);

    /// Takes a request. The handler gets the answer, `send_end::broken` if the entry crashes before
    /// it answers, or `send_end::not_connected` if the entry is down. A request that arrives during
    /// a pause gets no answer if the entry crashes before the pause ends.
    void receive(simulated_request const& request, simulation::answer_handler const& handler);
    /// Takes a datagram from another entry; ignores senders that are not listed members.
    void receive(address const& from, wire::message const& message);
    /// The configuration in force, which other entries may fetch; null before the first one.
    std::shared_ptr<configuration_in_force const> in_force() const { return follower_->in_force(); }

private:
    /// A request that has not been answered yet.
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
    /// Runs the action at once, or after the pause if the entry is paused. Drops it if the entry
    /// crashes during the pause.
    void run_when_resumed(std::function<void()> action);

    simulation& simulation_;
    listed_member listed_;
    /// Changes at each start and crash, so that callbacks of an earlier run are recognised.
    std::uint64_t run_number_ = 0;
    std::unique_ptr<entry_engine> engine_;
    std::unique_ptr<member_directory> directory_;
    std::unique_ptr<configuration_follower> follower_;
    std::map<request_id, pending_call> pending_calls_;
    /// Complete answers to sends, until the engine decides what to reply.
    std::map<request_id, simulated_answer> pending_answers_;
    /// The upstream that a request was sent to last; none if it went to another entry.
    std::map<request_id, upstream_name> current_upstreams_;
    /// For the latest send of each request: set to true when the engine abandons that send.
    std::map<request_id, std::shared_ptr<bool>> abandoned_flags_;
    leaving_upstream_tracker leaving_upstreams_;
    std::uint64_t next_request_id_ = 1;
    std::uint64_t adopted_version_ = 0; ///< Latest adopted configuration in this run; zero if none.
    time_point paused_until_;
    time_point uninterrupted_since_;
};

} // namespace burdockstep::testing
