/// Token buckets of the quota shares that this entry owns.
#pragma once

#include "libraries/teams/decaying_count.hpp"
#include "libraries/teams/quota_census.hpp"
#include "libraries/teams/team_quota_table.hpp"

#include <unordered_map>

namespace burdockstep {

/// A question for tokens of one share.
struct quota_question
{
    quota_share share;
    unsigned wanted = 0;
};

/// The answer to a question.
struct quota_grant
{
    quota_share share;
    unsigned granted = 0;
    /// If fewer were granted than wanted: how long not to ask again.
    duration wait{};
};

/// Counts what the entries take of the shares that this entry owns. A bucket begins empty whenever
/// the ownership begins: the former owner may have granted all tokens, and may grant more until it
/// learns of the change.
class quota_owner
{
public:
    /// Both must outlive this object.
    quota_owner(quota_census const& census, team_quota_table const& quotas)
        : census_(census), quotas_(quotas)
    {}

    /// Grants as many of the wanted tokens as there are.
    quota_grant answer(quota_question const& question, time_point now);
    /// Adapts the buckets to the part that the living entries may grant. Call it whenever the
    /// census has been updated.
    void follow_census(time_point now);
    /// Drops the buckets that are as full as new ones would be. Call it about once a second.
    void expire(time_point now);

    std::size_t bucket_count() const { return buckets_.size(); }
    std::uint64_t tokens_granted() const { return tokens_granted_; }

private:
    struct bucket
    {
        double tokens = 0;
        double living_part = 0; ///< At the last refill.
        time_point owned_since;
        time_point refilled_at;
        std::uint64_t generation = 0; ///< At which the ownership was checked.
        decaying_count recent_questions{std::chrono::milliseconds(250)};
        time_point questioned_at;
        duration wait{}; ///< Last one that was answered.
    };

    /// The bucket of a share, refilled; null if another entry owns it.
    bucket* find_bucket(quota_share const& share, known_quota const& quota, time_point now);
    bool check_ownership(bucket& checked, quota_share const& share, known_quota const& quota) const;
    void refill(bucket& filled, team_quota const& quota, time_point now) const;
    duration next_wait(bucket& asked, team_quota const& quota, time_point now) const;
    /// Changes whenever an ownership, or the time since which it lasts, may have changed.
    std::uint64_t generation() const { return census_.generation() + quotas_.generation(); }

    quota_census const& census_;
    team_quota_table const& quotas_;
    std::unordered_map<quota_share, bucket> buckets_;
    double living_part_ = 0; ///< The one that the buckets were last adapted to.
    std::uint64_t tokens_granted_ = 0;
};

} // namespace burdockstep
