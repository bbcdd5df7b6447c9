/// Which entry owns a share of a quota, and how much of the quota the living entries may grant.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/teams/quota_shares.hpp"

#include <map>
#include <optional>
#include <vector>

namespace burdockstep {

/// How far away an entry is.
enum class quota_distance : std::uint8_t
{
    itself,
    same_place,
    same_region,
    other_region
};

/// One entry as the membership sees it now.
struct quota_entry
{
    instance_name instance;
    address at{}; ///< Receives questions.
    quota_distance distance = quota_distance::other_region;
    bool is_alive = false;
    bool leaves_as_planned = false; ///< It stops, or is listed as leaving, and grants nothing.
};

/// Keeps the quotas during a network partition, in which entries on both sides go on. An entry that
/// is lost and didn't leave as planned may still run on the other side and grant tokens there. So
/// it counts as known for some minutes, and the living entries grant only their part of the quota:
/// living entries divided by living and lost ones.
class quota_census
{
public:
    quota_census(instance_name self, time_point now);

    /// Takes over the membership's view. Entries that vanish from it without having left as planned
    /// count as lost.
    void update(std::vector<quota_entry> const& entries, time_point now);
    /// Takes what this entry owns as owned from now on only, because other entries may have owned
    /// it in the meantime.
    void restart(time_point now);

    /// The living entry that owns the share; null until this entry itself is known. It stays valid
    /// until the next update.
    quota_entry const* owner_of(quota_share const& share) const;
    /// Since when this entry has owned the share; nothing if another owns it.
    std::optional<time_point> owned_since(quota_share const& share) const;
    /// Living entries divided by living and lost entries.
    double living_part() const { return living_part_; }
    /// When the living part last grew: others may have granted what this entry may grant now.
    time_point part_grown_at() const { return part_grown_at_; }
    /// Ceases to count entries that were lost long ago. Call it about once a second.
    void expire(time_point now);
    std::size_t living_entries() const { return living_.size(); }
    /// Changes whenever the owner of a share may have changed.
    std::uint64_t generation() const { return generation_; }

private:
    struct known_entry
    {
        quota_entry last;
        std::uint64_t hash = 0;
        time_point changed_at; ///< When it became alive, or ceased to be.
        bool is_listed = true;
    };

    void update_entry(quota_entry const& entry, time_point now);
    void rebuild();
    void update_living_part(time_point now);

    instance_name self_;
    time_point started_at_;
    std::map<instance_name, known_entry> entries_;
    std::vector<known_entry const*> living_; ///< Into `entries_`.
    known_entry const* itself_ = nullptr;    ///< Null unless this entry lives and doesn't stop.
    std::uint64_t generation_ = 0;
    double living_part_ = 0;
    time_point part_grown_at_;
};

} // namespace burdockstep
