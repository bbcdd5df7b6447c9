// The part of the member directory that decides which entries watch each other, and which are lost.
#include "libraries/membership/member_directory.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Most members, lost or never heard, that are asked for a heartbeat in one interval.
constexpr std::size_t max_returning_members_asked = 8;
/// Number of other members that are checked for each one that is lost without a planned stop.
constexpr std::size_t checks_per_loss = 4;
constexpr std::size_t max_checks_per_interval = 64;

} // namespace

void member_directory::mark_as_lost(known_member& member, std::uint64_t heartbeat_number)
{
    // Entries often go together: with a failure domain, or with the watchers of others. An entry
    // that is stopping ends alone.
    if (member.view.state == wire::member_state::serving)
        checks_due_ += checks_per_loss;
    member.view.state = wire::member_state::lost;
    // With a number above the last one heard, this state replaces the older record at other
    // entries.
    member.heartbeat_number = std::max(member.heartbeat_number + 1, heartbeat_number);
    ++change_count_;
    watch_lists_are_stale_ = true;
}

time_point member_directory::silent_since(known_member const& member, time_point watched_since)
{
    return std::max({member.heard_itself_at, member.reachable_since, watched_since});
}

void member_directory::mark_silent_as_lost(time_point now)
{
    give_up_suspected_members(now);
    for (auto const& [name, watched_since] : watched_) {
        known_member& member = members_.at(name);
        bool const is_silent =
            now - silent_since(member, watched_since) > options_.suspicion_timeout;
        if (!is_silent || !member.view.is_reachable())
            continue;
        suspicions_.erase(name);
        mark_as_lost(member, 0);
        queue_update(name);
    }
    if (watch_lists_are_stale_ || now >= introductions_end_)
        rebuild_watch_lists(now);
    suspect_some_members(now);
}

void member_directory::give_up_suspected_members(time_point now)
{
    std::erase_if(suspicions_, [&](auto const& item) {
        auto const& [name, suspected] = item;
        known_member& member = members_.at(name);
        if (!member.view.is_reachable())
            return true;
        if (now < suspected.gives_up_at)
            return false;
        mark_as_lost(member, suspected.heartbeat_number);
        if (!suspected.is_reported)
            queue_update(name);
        return true;
    });
}

void member_directory::suspect_some_members(time_point now)
{
    checks_due_ = std::min(checks_due_, members_.size());
    for (std::size_t i = 0; i < max_checks_per_interval && checks_due_ > 0; ++i) {
        --checks_due_;
        instance_name const* const name = ring_.successor(next_check_);
        if (name == nullptr)
            return;
        next_check_ = watch_ring::position_of(*name) + 1;
        if (*name != self_ && !watched_.contains(*name) && members_.at(*name).view.is_reachable())
            suspicions_.try_emplace(*name,
                                    suspicion{.gives_up_at = now + options_.suspicion_timeout});
    }
}

bool member_directory::is_on_ring(known_member const& member, time_point now) const
{
    bool const was_never_heard = member.view.incarnation.get() == 0;
    bool const is_being_introduced =
        was_never_heard && now < member.listed_at + options_.suspicion_timeout;
    return member.view.is_reachable() || is_being_introduced;
}

std::vector<instance_name> member_directory::names_on_ring(time_point now) const
{
    std::vector<instance_name> names;
    for (auto const& [name, member] : members_) {
        if (is_on_ring(member, now))
            names.push_back(name);
    }
    return names;
}

void member_directory::rebuild_watch_lists(time_point now)
{
    watch_lists_are_stale_ = false;
    introductions_end_ = time_point::max();
    for (auto const& [name, member] : members_) {
        if (member.view.incarnation.get() == 0 && is_on_ring(member, now))
            introductions_end_ =
                std::min(introductions_end_, member.listed_at + options_.suspicion_timeout);
    }
    std::vector<instance_name> on_ring = names_on_ring(now);
    ring_.rebuild(on_ring);
    watches_all_ = on_ring.size() <= options_.full_mesh_limit;
    std::vector<instance_name> watched;
    for (auto const& [name, member] : members_) {
        if (name == self_)
            continue;
        auto const its_watchers = watches_all_
                                      ? std::vector<instance_name>{self_}
                                      : ring_.watchers_of(name, options_.watchers_per_entry);
        if (std::find(its_watchers.begin(), its_watchers.end(), self_) != its_watchers.end())
            watched.push_back(name);
    }
    watch(watched, now);
    std::erase(on_ring, self_);
    watchers_ = watches_all_ ? on_ring : ring_.watchers_of(self_, options_.watchers_per_entry);
}

void member_directory::watch(std::vector<instance_name> const& names, time_point now)
{
    std::map<instance_name, time_point> watched;
    for (instance_name const& each : names) {
        auto const found = watched_.find(each);
        watched.emplace(each, found == watched_.end() ? now : found->second);
    }
    watched_ = std::move(watched);
}

std::vector<address> member_directory::heartbeat_targets() const
{
    std::vector<address> targets;
    for (instance_name const& each : watchers_)
        targets.push_back(members_.at(each).view.listed.peers);
    return targets;
}

std::vector<address> member_directory::take_probe_targets(time_point now)
{
    std::vector<address> targets;
    for (auto const& [name, suspected] : suspicions_)
        targets.push_back(members_.at(name).view.listed.peers);
    for (auto const& [name, watched_since] : watched_) {
        known_member const& member = members_.at(name);
        duration const silence = now - silent_since(member, watched_since);
        bool const is_due = member.view.is_reachable() && silence > 2 * options_.heartbeat_interval;
        if (is_due && !suspicions_.contains(name))
            targets.push_back(member.view.listed.peers);
    }
    add_returning_members(targets);
    return targets;
}

void member_directory::add_returning_members(std::vector<address>& targets)
{
    std::size_t asked_count = 0;
    for (instance_name const& each : std::exchange(doubted_losses_, {})) {
        if (asked_count++ < max_returning_members_asked)
            targets.push_back(members_.at(each).view.listed.peers);
    }
    auto next = watched_.upper_bound(last_asked_);
    for (std::size_t seen = 0; seen < watched_.size() && asked_count < max_returning_members_asked;
         ++seen, ++next) {
        if (next == watched_.end())
            next = watched_.begin();
        known_member const& member = members_.at(next->first);
        if (member.view.is_reachable())
            continue;
        targets.push_back(member.view.listed.peers);
        last_asked_ = next->first;
        ++asked_count;
    }
}

} // namespace burdockstep
