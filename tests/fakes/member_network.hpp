/// Entries that know each other only by the datagrams of a simulated network.
#pragma once

#include "libraries/core/random.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace burdockstep::testing {

/// Runs the member directories of many entries in virtual time. Like the platform's, the list of
/// entries keeps the names of entries that have ended.
class member_network
{
public:
    /// `name_offset` varies the names, and with them the order of the entries.
    member_network(std::uint64_t seed, unsigned name_offset);

    /// Starts as many new entries at the same time. Returns the index of the first one.
    std::size_t start(unsigned count);
    /// Ends an entry without notice.
    void end(std::size_t entry);
    /// Announces a planned stop and ends the entry two seconds later.
    void stop(std::size_t entry);
    /// Starts a new run of an entry that has ended.
    void restart(std::size_t entry);
    /// Datagrams between two entries are dropped while `is_cut` returns true for them.
    void set_cut(std::function<bool(std::size_t, std::size_t)> is_cut) { is_cut_ = is_cut; }
    void heal() { is_cut_ = nullptr; }
    void run_for(duration span);

    bool is_running(std::size_t entry) const { return entries_[entry].directory != nullptr; }
    std::size_t size() const { return entries_.size(); }
    /// Returns true when look-ups at `observer` name `observed`.
    bool names(std::size_t observer, std::size_t observed) const;
    /// The entries that a running observer counts as live, itself included, with their regions.
    std::map<instance_name, region_name> live_entries(std::size_t observer) const;
    instance_name const& name_of(std::size_t entry) const
    {
        return entries_[entry].listed.instance;
    }
    time_point now() const { return now_; }
    /// Number of pairs of a running observer and an entry that has ended and is still named.
    std::size_t count_ended_that_are_named() const { return count_pairs(false, true); }
    /// Number of pairs of a running observer and a running entry that isn't named.
    std::size_t count_running_that_are_not_named() const { return count_pairs(true, false); }
    /// Datagrams sent so far.
    std::uint64_t datagrams() const { return datagrams_; }
    membership_options const& options() const { return options_; }

private:
    struct simulated_member
    {
        listed_member listed;
        std::unique_ptr<member_directory> directory;
        bool stopping = false;
        time_point next_heartbeat;
        time_point ends_at = time_point::max();
    };
    struct datagram
    {
        time_point arrives_at;
        std::size_t from = 0;
        std::size_t to = 0;
        wire::message message;
    };
    struct arrives_later
    {
        bool operator()(datagram const& left, datagram const& right) const
        {
            return left.arrives_at > right.arrives_at;
        }
    };

    std::size_t count_pairs(bool runs, bool is_named) const;
    void begin_run(std::size_t entry);
    void publish_list();
    void step();
    void beat(std::size_t entry);
    void deliver(datagram const& arrived);
    void send(std::size_t from, address const& to, wire::message const& message);
    void send(std::size_t from, std::size_t to, wire::message const& message);

    membership_options options_;
    unsigned name_offset_ = 0;
    std::unique_ptr<random_source> random_;
    time_point now_{std::chrono::seconds(1'000)};
    std::vector<simulated_member> entries_;
    std::map<address, std::size_t> entry_at_;
    std::priority_queue<datagram, std::vector<datagram>, arrives_later> under_way_;
    std::function<bool(std::size_t, std::size_t)> is_cut_;
    std::uint64_t datagrams_ = 0;
};

} // namespace burdockstep::testing
