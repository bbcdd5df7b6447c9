/// A store of registrations, the servers that write to it, and entries that read it or are told of
/// it, in one process and without time of their own.
#pragma once

#include "libraries/core/random.hpp"
#include "libraries/discovery/registry_repair.hpp"
#include "libraries/discovery/upstream_registry.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockstep::testing {

/// Rows of the store, with their history. Versions go back when a copy is restored.
class registration_rows
{
public:
    void write(upstream_registration const& registration);
    void remove(upstream_name const& name);
    bool has_row(upstream_name const& name) const { return rows_.contains(name); }
    void keep_copy() { copy_ = {.rows = rows_, .version = position_.version}; }
    void restore_copy();

    store_position position() const { return position_; }
    std::vector<registration_change> all() const;
    /// Changes of the present era after a position.
    std::vector<registration_change> changes_after(store_position after) const;

private:
    struct copy
    {
        std::map<upstream_name, registration_change> rows;
        store_version version;
    };

    store_position next_position();

    std::map<upstream_name, registration_change> rows_;
    std::vector<registration_change> log_;
    copy copy_;
    store_position position_{.era = store_era(1), .version = {}};
};

/// Plays random events for a seed. Entry 0 reads every change when it is made; the others read now
/// and then, restart, or are told by readers in messages that get lost, repeated or late.
class registry_network
{
public:
    explicit registry_network(std::uint64_t seed);

    void play(unsigned events);
    /// Lets all servers that run write, and all entries compare what they know.
    void settle();
    /// Names the entries whose usable upstreams aren't those that run; empty if there are none.
    std::string disagreement() const;

private:
    struct server
    {
        upstream_registration registration;
        bool runs = false;
        std::vector<upstream_registration> late_writes; ///< Older than a write that was performed.
    };

    struct entry
    {
        upstream_registry registry;
        store_position position;
        registry_repair repair{{}};
        std::vector<std::vector<upstream_record>> messages; ///< On their way to it.
    };

    static upstream_registry new_registry();
    void play_event();
    void write_heartbeat(server& writer);
    void perform_late_write(server& writer);
    void leave(server& leaving);
    void restart(server& restarting);
    /// The store removes a row whose server is silent.
    void remove_silent(server const& silent);
    void read(entry& reader, bool tells_others);
    void deliver_message(entry& receiver);
    void compare(entry& asking, entry& asked);
    bool happens(double probability) { return random_.uniform_fraction() < probability; }

    random_source random_;
    time_point now_;
    registration_rows rows_;
    std::vector<server> servers_;
    std::vector<entry> entries_;
    std::int64_t last_start_ms_ = 1'000;
};

} // namespace burdockstep::testing
