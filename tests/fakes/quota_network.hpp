/// A simulated deployment of entries that share the quotas of teams, with failures.
#pragma once

#include "libraries/core/random.hpp"
#include "libraries/teams/team_quotas.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockstep::testing {

struct quota_network_options
{
    std::size_t entries = 10;
    std::size_t regions = 3;
    double datagram_loss = 0;
    double duplicates = 0;
    double unserved_part = 0; ///< Of the admitted requests: refused before they run.
    std::uint64_t seed = 1;
    /// How fast entries learn of each other's state.
    duration min_loss_detection = std::chrono::milliseconds(850);
    duration max_loss_detection = std::chrono::milliseconds(2'000);
    duration max_return_detection = std::chrono::milliseconds(500);
};

/// Requests of one team that are sent to some entries at random times.
struct quota_load
{
    std::size_t team = 0;
    double requests_per_s = 0;
    std::size_t first_entry = 0;
    std::size_t entries = 0; ///< 0: all.
};

/// Runs entries on one simulated clock. Datagrams take time and get lost, and each entry has its
/// own, late view of the others.
class quota_network
{
public:
    /// What became of one team's requests.
    struct team_record
    {
        std::vector<time_point> arrived;  ///< At any entry that runs.
        std::vector<time_point> admitted; ///< Those that ran, in order.
        std::uint64_t over_quota = 0;
        std::uint64_t undecided = 0;
        duration longest_wait{};
    };

    explicit quota_network(quota_network_options const& options);

    /// Gives a configuration to all entries, to each within `spread`.
    void configure(std::vector<team_settings> teams, duration spread = {});
    /// Replaces the loads.
    void set_loads(std::vector<quota_load> loads);
    void run_for(duration time);

    void kill(std::size_t entry);
    void start(std::size_t entry);
    void stop_as_planned(std::size_t entry);
    void freeze(std::size_t entry);
    void wake(std::size_t entry);
    /// Entries with different groups can't reach each other.
    void set_group(std::size_t entry, unsigned group);
    void set_datagram_loss(double part) { options_.datagram_loss = part; }
    /// Sends one request now and returns the verdict at once.
    quota_answer ask(std::size_t entry, std::size_t team);

    team_record const& record(std::size_t team) const { return records_.at(team); }
    team_quotas& quotas(std::size_t entry) { return *nodes_.at(entry).quotas; }
    std::uint64_t datagrams() const { return datagrams_; }
    std::size_t entries() const { return nodes_.size(); }
    bool is_running(std::size_t entry) const
    {
        return nodes_.at(entry).is_up && !nodes_.at(entry).is_frozen;
    }
    time_point now() const { return now_; }
    /// The entry that owns the share by the view of `viewer`.
    std::size_t owner_of(std::size_t team, std::uint8_t share, std::size_t viewer);
    /// Text of a rule that was broken for the team from `from` on; empty if none.
    std::string broken_rule(std::size_t team, team_quota const& quota, time_point from) const;
    /// The most requests that ran within 5 s, beyond the rate times 5 s plus the burst.
    double largest_excess(std::size_t team, team_quota const& quota, time_point from) const;
    /// Admitted requests since `from`, divided by what one bucket for all would have admitted.
    double admitted_part(std::size_t team, team_quota const& quota, time_point from) const;

private:
    using action = std::function<void()>;
    struct scheduled
    {
        time_point at;
        std::uint64_t order = 0;
        action run;
        bool operator<(scheduled const& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct node
    {
        std::unique_ptr<team_quotas> quotas;
        bool is_up = false;
        bool is_frozen = false;
        bool stops = false;
        unsigned group = 0;
        std::uint64_t run = 0;
        std::vector<bool> sees;
        std::vector<bool> saw_stop;
        std::vector<action> backlog; ///< While frozen.
        bool questions_scheduled = false;
        bool view_is_stale = false;
    };
    struct request_record
    {
        std::size_t team = 0;
        time_point sent_at;
    };

    void at(time_point time, action run);
    /// Runs the action at a node, once it is awake, unless it has ended before.
    void at_node(std::size_t entry, duration delay, action run);
    void schedule_tick(std::size_t entry);
    void schedule_arrival(std::size_t load, std::uint64_t generation);
    bool can_reach(std::size_t from, std::size_t to) const;
    void schedule_views_of(std::size_t entry);
    void schedule_view(std::size_t viewer, std::size_t entry);
    void refresh_view(std::size_t viewer);
    void send(std::size_t from, std::size_t to, action deliver);
    void flush(std::size_t entry);
    void deliver_batch(std::size_t from, quota_question_batch const& batch);
    quota_answer submit(std::size_t entry, std::size_t team);
    void finish(std::size_t entry, request_id request, quota_answer const& answer);
    duration random_duration(duration from, duration to);

    quota_network_options options_;
    random_source random_;
    time_point now_{std::chrono::seconds(100)};
    std::priority_queue<scheduled> queue_;
    std::uint64_t next_order_ = 0;
    std::uint64_t next_request_ = 0;
    std::vector<node> nodes_;
    std::vector<team_settings> teams_;
    std::vector<quota_load> loads_;
    std::uint64_t load_generation_ = 0;
    std::unordered_map<request_id, request_record> requests_;
    std::vector<team_record> records_;
    std::uint64_t datagrams_ = 0;
};

/// A team with a quota and no keys.
team_settings make_limited_team(std::string const& name, double requests_per_s, double burst);

} // namespace burdockstep::testing
