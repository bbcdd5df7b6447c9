#include "libraries/teams/quota_census.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// An entry that was lost longer ago isn't expected to run on the other side of a partition.
constexpr duration max_time_lost = std::chrono::minutes(10);

/// Mixes the bits of the number, as the finaliser of a 64-bit hash does.
std::uint64_t mix(std::uint64_t bits)
{
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111eb;
    return bits ^ (bits >> 31U);
}

/// Rendezvous hash: of the living entries, that with the highest rank owns the share.
std::uint64_t rank(std::uint64_t entry_hash, quota_share const& share)
{
    return mix(entry_hash ^ mix(share.team.get() + share.index));
}

} // namespace

quota_census::quota_census(instance_name self, time_point now)
    : self_(std::move(self)), started_at_(now), part_grown_at_(now)
{}

void quota_census::update(std::vector<quota_entry> const& entries, time_point now)
{
    for (auto& [instance, each] : entries_)
        each.is_listed = false;
    for (quota_entry const& each : entries)
        update_entry(each, now);
    for (auto& [instance, each] : entries_) {
        if (each.is_listed || !each.last.is_alive)
            continue;
        each.last.is_alive = false;
        each.changed_at = now;
    }
    rebuild();
    expire(now);
}

void quota_census::update_entry(quota_entry const& entry, time_point now)
{
    auto const [found, is_new] = entries_.try_emplace(entry.instance);
    known_entry& known = found->second;
    bool const was_alive = known.last.is_alive;
    // An entry that stopped as planned isn't lost when it falls silent.
    bool const left_as_planned = !is_new && known.last.leaves_as_planned && !entry.is_alive;
    if (is_new)
        known.hash = hash_of(entry.instance.get());
    if (is_new || was_alive != entry.is_alive)
        known.changed_at = now;
    known.last = entry;
    known.last.leaves_as_planned = entry.leaves_as_planned || left_as_planned;
    known.is_listed = true;
}

void quota_census::expire(time_point now)
{
    std::erase_if(entries_, [&](auto const& each) {
        known_entry const& known = each.second;
        return !known.is_listed && now - known.changed_at > max_time_lost;
    });
    update_living_part(now);
}

void quota_census::rebuild()
{
    std::vector<known_entry const*> living;
    known_entry const* itself = nullptr;
    for (auto const& [instance, each] : entries_) {
        if (!each.last.is_alive)
            continue;
        living.push_back(&each);
        if (instance == self_)
            itself = &each;
    }
    if (living == living_ && itself == itself_)
        return;
    living_ = std::move(living);
    itself_ = itself;
    ++generation_;
}

void quota_census::restart(time_point now)
{
    started_at_ = now;
    ++generation_;
}

quota_entry const* quota_census::owner_of(quota_share const& share) const
{
    known_entry const* owner = nullptr;
    std::uint64_t highest = 0;
    for (known_entry const* const each : living_) {
        std::uint64_t const rank_of_entry = rank(each->hash, share);
        if (owner != nullptr && rank_of_entry <= highest)
            continue;
        owner = each;
        highest = rank_of_entry;
    }
    return owner == nullptr ? nullptr : &owner->last;
}

std::optional<time_point> quota_census::owned_since(quota_share const& share) const
{
    if (itself_ == nullptr)
        return std::nullopt;
    std::uint64_t const own_rank = rank(itself_->hash, share);
    time_point since = std::max(started_at_, itself_->changed_at);
    for (auto const& [instance, each] : entries_) {
        if (&each == itself_ || rank(each.hash, share) <= own_rank)
            continue;
        if (each.last.is_alive)
            return std::nullopt;
        since = std::max(since, each.changed_at);
    }
    return since;
}

void quota_census::update_living_part(time_point now)
{
    std::size_t lost = 0;
    for (auto const& [instance, each] : entries_) {
        bool const may_live = !each.last.is_alive && !each.last.leaves_as_planned &&
                              now - each.changed_at <= max_time_lost;
        lost += may_live ? 1 : 0;
    }
    auto const living = static_cast<double>(living_.size());
    double const part = living_.empty() ? 0 : living / (living + static_cast<double>(lost));
    if (part > living_part_)
        part_grown_at_ = now;
    living_part_ = part;
}

} // namespace burdockstep
