/// A whole deployment in virtual time: entries that run the real decision logic, and simple models
/// of upstreams, callers, network and store. Messages are lost, duplicated and delayed; entries
/// pause, crash and restart; upstreams shed and leave; the store fails.
#pragma once

#include "tests/fakes/fake_store.hpp"
#include "tests/simulation/event_queue.hpp"

#include "libraries/configuration_sync/configuration_follower.hpp"
#include "libraries/configuration_sync/configuration_publisher.hpp"
#include "libraries/core/random.hpp"
#include "libraries/entry/entry_engine.hpp"
#include "libraries/membership/member_directory.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace burdockstep::testing {

/// Length and fault rates of a run. Rates are probabilities for each message or request, or where
/// noted, for each half second.
struct simulation_options
{
    std::uint64_t seed = 1;
    std::string traced_id; ///< Request id or caller's ticket to trace; empty for none.
    duration length = std::chrono::seconds(20);
    double datagram_loss = 0.05;
    double datagram_duplication = 0.02;
    double request_loss = 0.01;
    double answer_loss = 0.01;
    double late_duplicate = 0.05; ///< Probability that a second copy of a caller's request is sent
                                  ///< some time after the first.
    double crash = 0.02;          ///< That an entry crashes, per entry and half second.
    double pause = 0.03;          ///< That an entry pauses, per entry and half second.
    double store_outage = 0.05;   ///< That a store outage starts, per half second.
    double shed = 0.03;           ///< That an upstream refuses a request without running it.
    double leave = 0.01;          ///< That an upstream which may leave does so, per half second.
};

/// Descriptions of the guarantees that a run violated; empty if it violated none.
using violations = std::vector<std::string>;

class simulated_entry;

/// An upstream: runs each request and answers after a random time, or refuses the request if it
/// sheds load or is leaving.
struct simulated_upstream
{
    upstream_name name;
    address at;
    bool leaving = false;
    /// When an entry first learnt that the upstream is leaving, if that entry stayed up long enough
    /// to tell the others.
    std::optional<time_point> first_leaving_notice;
};

/// The outcome of one send, as its sender receives it.
struct simulated_answer
{
    answer_head_kind kind = answer_head_kind::answer;
    send_end end = send_end::complete;
    std::string body;
    std::optional<ticket> next; ///< With `not_run`: the ticket for the next send.
    bool from_leaving_upstream = false;
};

/// A request as it is sent from a caller or an entry.
struct simulated_request
{
    std::string id; ///< Identifies the caller's request; the same in all its sends.
    service_name service;
    std::optional<ticket> presented; ///< The ticket of this send; an entry may replace it.
    std::string caller_ticket;       ///< The ticket that the caller presented; empty if none.
    call_route route = call_route::direct;
    duration time_left{};
    std::string body;
};

/// Owns all parts of one run and checks the guarantees of the system while it runs.
class simulation
{
public:
    explicit simulation(simulation_options options);
    ~simulation();
    simulation(simulation const&) = delete;
    simulation& operator=(simulation const&) = delete;

    /// Runs for the configured length and returns the violations found.
    violations run();

    /// Event counts of a run, which show that faults and outcomes of every kind occurred.
    struct totals
    {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t not_run = 0;
        std::uint64_t unknown = 0;
        std::uint64_t crashes = 0;
        std::uint64_t pauses = 0;
        std::uint64_t late_duplicates = 0;
        std::uint64_t upstreams_left = 0;
        std::uint64_t applies_accepted = 0;
        std::uint64_t applies_refused = 0;
        std::uint64_t applies_unknown = 0;
    };
    totals const& run_totals() const { return totals_; }

private:
    friend class simulated_entry;

    /// A request of a caller over all its sends, with what the caller knows of its outcome.
    struct caller_request
    {
        simulated_request request;
        bool idempotent = false;
        unsigned send_count = 0;
        bool may_have_run = false;
        bool ended = false;
    };

    using answer_handler = std::function<void(simulated_answer const&)>;

    // Network and upstreams.
    duration network_delay();
    void send_request(address const& to, simulated_request const& request,
                      answer_handler const& handler);
    void receive_at_upstream(simulated_upstream& upstream, simulated_request const& request,
                             answer_handler const& handler);
    void send_datagram(address const& from, address const& to, wire::message const& message);

    // Callers.
    void start_request();
    void send_caller_request(std::shared_ptr<caller_request> const& caller);
    void take_caller_answer(std::shared_ptr<caller_request> const& caller,
                            std::string const& shown_ticket, simulated_answer const& answer);
    void end_request(caller_request& caller, answer_head_kind outcome);

    // Faults.
    void inject_faults();
    void stop_faults();

    // Operators.
    void start_apply();
    void execute(std::shared_ptr<configuration_publisher> const& publisher,
                 publisher_command const& command);
    void end_apply(configuration_publisher const& publisher, apply_outcome const& outcome);

    // Checks of the guarantees.
    /// Checks that a request to the non-idempotent service runs at most once.
    void record_execution(simulated_upstream const& upstream, simulated_request const& request);
    /// Checks that an upstream known to be leaving gets no new work after the limit.
    void check_new_work(simulated_entry const& entry, upstream_name const& upstream);
    void record_leaving_notice(simulated_entry const& entry, upstream_name const& upstream);
    void check_at_end();
    void add_violation(std::string what);
    /// Prints the step if the request is the traced one or carries the traced ticket.
    void trace(simulated_request const& request, std::string const& step) const;

    bool with_probability(double probability) { return random_.uniform_fraction() < probability; }
    simulated_entry& random_entry();

    simulation_options options_;
    random_source random_;
    event_queue queue_;
    fake_store store_;
    std::vector<std::unique_ptr<simulated_entry>> entries_;
    std::vector<simulated_upstream> upstreams_;
    std::map<std::string, std::uint64_t> executions_by_request_;
    std::map<std::string, std::uint64_t> executions_by_ticket_;
    std::set<std::string> tickets_answered_not_run_;
    std::set<std::string> accepted_applies_;
    std::set<std::string> refused_applies_;
    std::vector<std::shared_ptr<caller_request>> caller_requests_;
    unsigned next_request_ = 0;
    unsigned next_apply_ = 0;
    bool faults_stopped_ = false;
    totals totals_;
    violations violations_;
};

} // namespace burdockstep::testing
