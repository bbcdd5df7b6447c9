#include "libraries/teams/quota_owner.hpp"

#include <algorithm>
#include <iterator>

namespace burdockstep {

namespace {

/// A new owner's bucket begins to fill this long after the ownership began, because the former
/// owner usually still grants tokens until it hears of the change. As the bucket begins empty, a
/// short time is enough.
constexpr duration takeover_pause = std::chrono::milliseconds(100);
/// How long not to ask an entry that doesn't own the share, by its own view.
constexpr duration wait_without_owner = std::chrono::milliseconds(50);
constexpr duration min_wait = std::chrono::milliseconds(20);
constexpr duration max_wait = std::chrono::milliseconds(1'000);
/// Questions per second about one empty share at most, so that they take little of the owner's
/// time.
constexpr double max_questions_per_s = 200;

double in_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Tokens that a bucket may hold: at least one, or a small part could never grant any.
double capacity(team_quota const& quota, double living_part)
{
    return std::max(quota.burst * living_part, 1.0);
}

} // namespace

quota_grant quota_owner::answer(quota_question const& question, time_point now)
{
    quota_grant grant{.share = question.share, .granted = 0, .wait = wait_without_owner};
    known_quota const* const quota = quotas_.find(question.share.team);
    if (quota == nullptr || question.share.index >= quota->shares)
        return grant;
    bucket* const asked = find_bucket(question.share, *quota, now);
    if (asked == nullptr)
        return grant;
    asked->recent_questions.add(1, now);
    asked->questioned_at = now;
    grant.granted = std::min(question.wanted, static_cast<unsigned>(asked->tokens));
    asked->tokens -= grant.granted;
    tokens_granted_ += grant.granted;
    grant.wait = duration::zero();
    if (grant.granted < question.wanted)
        grant.wait = next_wait(*asked, quota->of_share, now);
    return grant;
}

duration quota_owner::next_wait(bucket& asked, team_quota const& quota, time_point now) const
{
    double const tokens_per_s = quota.requests_per_s * asked.living_part;
    duration const until_token =
        tokens_per_s > 0 ? from_seconds(std::min((1 - asked.tokens) / tokens_per_s, 1.0))
                         : max_wait;
    // Each waiting entry asks once per wait, so the product estimates how many there are.
    double const askers =
        asked.recent_questions.per_second(now) * in_seconds(std::max(asked.wait, min_wait));
    duration const for_askers = from_seconds(askers / max_questions_per_s);
    asked.wait = std::clamp(std::max(until_token, for_askers), min_wait, max_wait);
    return asked.wait;
}

quota_owner::bucket* quota_owner::find_bucket(quota_share const& share, known_quota const& quota,
                                              time_point now)
{
    auto const [found, is_new] = buckets_.try_emplace(share);
    bucket& owned = found->second;
    bool const is_unchecked = is_new || owned.generation != generation();
    if (is_unchecked && !check_ownership(owned, share, quota)) {
        buckets_.erase(found);
        return nullptr;
    }
    refill(owned, quota.of_share, now);
    return &owned;
}

bool quota_owner::check_ownership(bucket& checked, quota_share const& share,
                                  known_quota const& quota) const
{
    auto since = census_.owned_since(share);
    if (!since)
        return false;
    since = std::max(*since, quota.known_since);
    checked.generation = generation();
    if (checked.owned_since == *since)
        return true;
    checked.owned_since = *since;
    checked.tokens = 0;
    checked.refilled_at = std::max(*since + takeover_pause, census_.part_grown_at());
    checked.living_part = census_.living_part();
    return true;
}

void quota_owner::refill(bucket& filled, team_quota const& quota, time_point now) const
{
    double const living_part = census_.living_part();
    // If the part has changed since the last refill, the smaller one counts.
    double const part = std::min(filled.living_part, living_part);
    filled.living_part = living_part;
    duration const elapsed = std::max(now - filled.refilled_at, duration::zero());
    filled.refilled_at = std::max(filled.refilled_at, now);
    filled.tokens += in_seconds(elapsed) * quota.requests_per_s * part;
    filled.tokens = std::min(filled.tokens, capacity(quota, living_part));
}

void quota_owner::follow_census(time_point now)
{
    if (living_part_ == census_.living_part())
        return;
    living_part_ = census_.living_part();
    for (auto& [share, each] : buckets_) {
        if (known_quota const* const quota = quotas_.find(share.team))
            refill(each, quota->of_share, now);
    }
}

void quota_owner::expire(time_point now)
{
    constexpr duration min_idle_time = std::chrono::seconds(10);
    auto const is_expendable = [&](quota_share const& share, bucket& checked) {
        if (now - checked.questioned_at < min_idle_time)
            return false;
        known_quota const* const quota = quotas_.find(share.team);
        if (quota == nullptr || share.index >= quota->shares)
            return true;
        refill(checked, quota->of_share, now);
        // A bucket that is made again holds at most what it could hold now.
        return checked.tokens >= capacity(quota->of_share, checked.living_part);
    };
    for (auto each = buckets_.begin(); each != buckets_.end();)
        each = is_expendable(each->first, each->second) ? buckets_.erase(each) : std::next(each);
}

} // namespace burdockstep
