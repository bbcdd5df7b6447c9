#include "libraries/teams/team_quotas.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// If no call came for longer than this, the process was stopped, and others may have taken over
/// its shares. Shorter than the time after which silent entries are considered lost.
constexpr duration max_gap = std::chrono::milliseconds(700);
/// The longest time that a request waits for its verdict.
constexpr duration max_verdict_time = std::chrono::milliseconds(150);
constexpr std::size_t max_requests_waiting = 2'048;
constexpr duration retry_after_overload = std::chrono::milliseconds(100);
constexpr duration housekeeping_interval = std::chrono::seconds(1);
/// A team without requests for longer than this is forgotten.
constexpr duration team_memory = std::chrono::seconds(10);
/// Further tokens are asked for when those held last at most this long at the team's present rate.
constexpr double reserve_s = 0.03;

} // namespace

team_quotas::team_quotas(instance_name self, quota_question_number first_number, time_point now)
    : census_(std::move(self), now), last_number_(first_number), observed_at_(now),
      housekeeping_due_(now)
{}

void team_quotas::observe(time_point now)
{
    if (now - observed_at_ > max_gap)
        forget(now);
    observed_at_ = std::max(observed_at_, now);
}

void team_quotas::forget(time_point now)
{
    observed_at_ = now;
    // Buckets begin empty whenever the time changes since which their shares are owned.
    census_.restart(now);
    collected_.clear();
    open_batches_.clear();
    taken_.clear();
    taken_in_order_.clear();
    for (auto& [team, use] : uses_) {
        for (share_use& each : use.shares)
            each = {};
    }
}

quota_answer team_quotas::counted(quota_answer const& answer)
{
    ++counters_.verdicts.at(static_cast<std::size_t>(answer.verdict));
    return answer;
}

team_quotas::team_use& team_quotas::use_of(team_hash team, known_quota const& quota, time_point now)
{
    team_use& use = uses_[team];
    use.team = team;
    use.last_used = now;
    if (use.shares.size() != quota.shares) {
        use.shares.assign(quota.shares, {});
        use.next_share = 0;
    }
    return use;
}

team_quotas::team_use* team_quotas::find_use(team_hash team)
{
    auto const found = uses_.find(team);
    return found == uses_.end() ? nullptr : &found->second;
}

quota_answer team_quotas::ask(request_id request, team_settings const& team, time_point now)
{
    observe(now);
    team_hash const hash = hash_of_team(team.name);
    known_quota const* const quota = quotas_.find(hash);
    if (quota == nullptr)
        return counted({.verdict = quota_verdict::admitted, .retry_after = {}});
    team_use& use = use_of(hash, *quota, now);
    use.requests.add(1, now);
    if (use.waiting.empty() && take_held_token(use, request, now)) {
        seek_ahead(use, now);
        return counted({.verdict = quota_verdict::admitted, .retry_after = {}});
    }
    if (requests_waiting_ >= max_requests_waiting)
        return counted({.verdict = quota_verdict::undecided, .retry_after = retry_after_overload});
    use.waiting.push_back({.request = request, .since = now});
    waits_in_order_.emplace_back(now, hash);
    ++requests_waiting_;
    serve_waiting(use, now);
    bool const is_decided = use.waiting.empty() || use.waiting.back().request != request;
    if (!is_decided)
        return counted({.verdict = quota_verdict::pending, .retry_after = {}});
    // The last verdict is this request's, as it was the last one that waited.
    quota_answer const answer = verdicts_.back().answer;
    verdicts_.pop_back();
    return answer;
}

bool team_quotas::take_held_token(team_use& use, request_id request, time_point now)
{
    for (std::size_t i = 0; i < use.shares.size(); ++i) {
        share_use& share = use.shares[i];
        if (share.held == 0)
            continue;
        if (now >= share.held_until) {
            counters_.tokens_lapsed += std::exchange(share.held, 0);
            continue;
        }
        --share.held;
        taken_[request] = {.share = i, .usable_until = share.held_until};
        taken_in_order_.emplace_back(share.held_until, request);
        return true;
    }
    return false;
}

void team_quotas::give_back(request_id request, team_settings const& team, time_point now)
{
    observe(now);
    team_use* const use = find_use(hash_of_team(team.name));
    if (use == nullptr)
        return;
    std::size_t const no_longer_waiting = std::erase_if(
        use->waiting, [&](waiting_request const& each) { return each.request == request; });
    requests_waiting_ -= no_longer_waiting;
    auto const taken = taken_.find(request);
    if (taken == taken_.end())
        return;
    taken_token const token = taken->second;
    taken_.erase(taken);
    // A token is never used after its lease: that would move its request into a later time span.
    if (now >= token.usable_until || token.share >= use->shares.size())
        return;
    share_use& share = use->shares[token.share];
    bool const holds_others = share.held > 0 && now < share.held_until;
    share.held = holds_others ? share.held + 1 : 1;
    share.held_until =
        holds_others ? std::min(share.held_until, token.usable_until) : token.usable_until;
    ++counters_.tokens_given_back;
    if (!use->waiting.empty())
        serve_waiting(*use, now);
}

unsigned team_quotas::tokens_asked_for(team_use const& use)
{
    unsigned tokens = 0;
    for (share_use const& each : use.shares)
        tokens += each.asked_for;
    return tokens;
}

unsigned team_quotas::tokens_ahead(team_use const& use, time_point now)
{
    // Tokens that aren't used in time are lost to the team, so only the requests of a short time
    // are provided for.
    constexpr double time_ahead_s = 0.1;
    constexpr double max_tokens = 256;
    return static_cast<unsigned>(std::min(use.requests.per_second(now) * time_ahead_s, max_tokens));
}

void team_quotas::seek_ahead(team_use& use, time_point now)
{
    constexpr unsigned min_tokens = 2;
    unsigned const ahead = tokens_ahead(use, now);
    if (ahead < min_tokens || tokens_asked_for(use) > 0)
        return;
    unsigned held = 0;
    for (share_use const& each : use.shares)
        held += now < each.held_until ? each.held : 0;
    if (held > use.requests.per_second(now) * reserve_s)
        return;
    auto const chosen = choose_share(use, now);
    if (chosen && use.shares[*chosen].distance != quota_distance::itself)
        ask_share(use, *chosen, ahead, now);
}

void team_quotas::refresh_owner(share_use& share, quota_share const& name, time_point now) const
{
    if (share.generation == census_.generation())
        return;
    share.generation = census_.generation();
    quota_entry const* const owner = census_.owner_of(name);
    bool const had_owner = std::exchange(share.has_owner, owner != nullptr);
    if (owner == nullptr)
        return;
    address const former = std::exchange(share.owner, owner->at);
    share.distance = owner->distance;
    if (had_owner && former == share.owner)
        return;
    share.silences = 0;
    share.is_answered = false;
    share.closed_until = now;
}

std::optional<std::size_t> team_quotas::choose_share(team_use& use, time_point now)
{
    std::optional<std::size_t> chosen;
    std::size_t const count = use.shares.size();
    for (std::size_t step = 0; step < count; ++step) {
        std::size_t const index = (use.next_share + step) % count;
        share_use& share = use.shares[index];
        if (share.is_collected)
            return index;
        refresh_owner(share, {.team = use.team, .index = static_cast<std::uint8_t>(index)}, now);
        if (!share.has_owner || share.asked_for > 0 || now < share.closed_until)
            continue;
        auto const cost = [&](std::size_t each) {
            return std::pair(use.shares[each].silences, use.shares[each].distance);
        };
        if (!chosen || cost(index) < cost(*chosen))
            chosen = index;
    }
    if (chosen)
        use.next_share = (*chosen + 1) % count;
    return chosen;
}

void team_quotas::ask_share(team_use& use, std::size_t index, unsigned wanted, time_point now)
{
    share_use& share = use.shares[index];
    quota_question question{.share = {.team = use.team, .index = static_cast<std::uint8_t>(index)},
                            .wanted = wanted};
    if (share.distance == quota_distance::itself) {
        // From this entry's own buckets, tokens needn't be taken in advance.
        question.wanted = static_cast<unsigned>(use.waiting.size());
        apply_grant(use, owner_.answer(question, now), now + quota_lease, now);
        return;
    }
    share.asked_for += wanted;
    collect_question(share, question);
}

void team_quotas::collect_question(share_use& share, quota_question const& question)
{
    std::vector<quota_question>& questions = collected_[share.owner];
    if (!std::exchange(share.is_collected, true)) {
        questions.push_back(question);
        ++counters_.questions;
        return;
    }
    for (quota_question& each : questions) {
        if (each.share == question.share)
            each.wanted += question.wanted;
    }
}

void team_quotas::apply_grant(team_use& use, quota_grant const& grant, time_point usable_until,
                              time_point now)
{
    share_use& share = use.shares[grant.share.index];
    share.silences = 0;
    share.closed_until = now + grant.wait;
    share.is_answered = true;
    if (grant.granted == 0)
        return;
    use.tokens.add(grant.granted, now);
    if (now >= usable_until) {
        counters_.tokens_lapsed += grant.granted;
        return;
    }
    bool const holds_others = share.held > 0 && now < share.held_until;
    share.held_until = holds_others ? std::min(share.held_until, usable_until) : usable_until;
    share.held = (holds_others ? share.held : 0) + grant.granted;
}

void team_quotas::serve_waiting(team_use& use, time_point now)
{
    for (;;) {
        while (!use.waiting.empty() && take_held_token(use, use.waiting.front().request, now))
            end_wait(use, {.verdict = quota_verdict::admitted, .retry_after = {}});
        unsigned const asked_for = tokens_asked_for(use);
        if (use.waiting.size() <= asked_for)
            return;
        auto const missing = static_cast<unsigned>(use.waiting.size()) - asked_for;
        if (auto const chosen = choose_share(use, now)) {
            unsigned const ahead = asked_for > 0 ? 0 : tokens_ahead(use, now);
            ask_share(use, *chosen, missing + ahead, now);
            continue;
        }
        if (asked_for > 0)
            return;
        while (!use.waiting.empty())
            end_wait(use, make_refusal(use, now));
        return;
    }
}

void team_quotas::end_wait(team_use& use, quota_answer const& answer)
{
    verdicts_.push_back({.request = use.waiting.front().request, .answer = counted(answer)});
    use.waiting.pop_front();
    --requests_waiting_;
}

quota_answer team_quotas::make_refusal(team_use& use, time_point now)
{
    constexpr duration max_retry_after = std::chrono::seconds(1);
    constexpr double min_supply_per_s = 1;
    time_point opens_at = now + max_retry_after;
    bool is_over_quota = false;
    for (share_use const& each : use.shares) {
        opens_at = std::min(opens_at, each.closed_until);
        is_over_quota = is_over_quota || (each.has_owner && each.is_answered && each.silences == 0);
    }
    duration const until_open = std::max(opens_at - now, duration(tick_interval));
    if (!is_over_quota)
        return {.verdict = quota_verdict::undecided, .retry_after = until_open};
    use.refusals.add(1, now);
    // Callers that were refused before come back too, and each needs a token.
    double const supply_per_s = std::max(use.tokens.per_second(now), min_supply_per_s);
    auto const until_turn = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(use.refusals.value_at(now) / supply_per_s));
    return {.verdict = quota_verdict::over_quota,
            .retry_after = std::max(until_open, std::min(until_turn, max_retry_after))};
}

void team_quotas::update_teams(std::vector<team_settings> const& teams, time_point now)
{
    if (!is_active())
        observed_at_ = now;
    observe(now);
    quotas_.update(teams, now);
}

void team_quotas::update_entries(std::vector<quota_entry> const& entries, time_point now)
{
    observe(now);
    census_.update(entries, now);
    owner_.follow_census(now);
}

std::vector<quota_grant> team_quotas::answer(std::vector<quota_question> const& questions,
                                             time_point now)
{
    observe(now);
    std::vector<quota_grant> grants;
    grants.reserve(questions.size());
    for (quota_question const& each : questions)
        grants.push_back(owner_.answer(each, now));
    return grants;
}

std::vector<quota_question_batch> team_quotas::take_questions(time_point now)
{
    std::vector<quota_question_batch> batches;
    for (auto& [to, questions] : std::exchange(collected_, {})) {
        for (std::size_t first = 0; first < questions.size(); first += max_questions_per_batch) {
            std::size_t const count = std::min(questions.size() - first, max_questions_per_batch);
            auto const begin = questions.begin() + static_cast<std::ptrdiff_t>(first);
            last_number_ = quota_question_number(last_number_.get() + 1);
            batches.push_back({.to = to,
                               .number = last_number_,
                               .questions = {begin, begin + static_cast<std::ptrdiff_t>(count)}});
        }
    }
    for (quota_question_batch const& batch : batches) {
        ++counters_.question_batches;
        open_batches_[batch.number] = {.sent_at = now, .questions = batch.questions};
        for (quota_question const& each : batch.questions) {
            team_use* const use = find_use(each.share.team);
            if (use != nullptr && each.share.index < use->shares.size())
                use->shares[each.share.index].is_collected = false;
        }
    }
    return batches;
}

void team_quotas::handle_grants(quota_question_number number,
                                std::vector<quota_grant> const& grants, time_point now)
{
    observe(now);
    auto const found = open_batches_.find(number);
    if (found == open_batches_.end())
        return;
    open_batch const batch = std::move(found->second);
    open_batches_.erase(found);
    for (std::size_t i = 0; i < batch.questions.size(); ++i) {
        quota_question const& question = batch.questions[i];
        team_use* const use = find_use(question.share.team);
        if (use == nullptr || question.share.index >= use->shares.size())
            continue;
        if (!batch.is_given_up)
            use->shares[question.share.index].asked_for = 0;
        if (i >= grants.size() || grants[i].share != question.share)
            continue;
        quota_grant grant = grants[i];
        grant.granted = std::min(grant.granted, question.wanted);
        apply_grant(*use, grant, batch.sent_at + quota_lease, now);
    }
    for (quota_question const& each : batch.questions) {
        if (team_use* const use = find_use(each.share.team))
            serve_waiting(*use, now);
    }
}

std::vector<late_quota_verdict> team_quotas::take_verdicts()
{
    return std::exchange(verdicts_, {});
}

void team_quotas::tick(time_point now)
{
    observe(now);
    close_unanswered_batches(now);
    end_long_waits(now);
    forget_taken_tokens(now);
    if (now >= housekeeping_due_)
        run_housekeeping(now);
}

void team_quotas::close_unanswered_batches(time_point now)
{
    /// An answer takes one round trip to another region and the time of two busy processes.
    constexpr duration max_answer_time = std::chrono::milliseconds(70);
    // Numbers rise with time.
    while (!open_batches_.empty() && now >= open_batches_.begin()->second.sent_at + quota_lease) {
        open_batch expired = std::move(open_batches_.begin()->second);
        open_batches_.erase(open_batches_.begin());
        // After a stall of this process it wasn't given up before.
        if (!expired.is_given_up)
            give_up_batch(expired, now);
    }
    for (auto& [number, batch] : open_batches_) {
        if (now < batch.sent_at + max_answer_time)
            break;
        if (!std::exchange(batch.is_given_up, true))
            give_up_batch(batch, now);
    }
}

void team_quotas::give_up_batch(open_batch& batch, time_point now)
{
    /// A share whose owner was silent twice isn't asked for this time.
    constexpr duration closing_time = std::chrono::milliseconds(250);
    constexpr std::uint8_t silences_before_closing = 2;
    ++counters_.unanswered_batches;
    for (quota_question const& each : batch.questions) {
        team_use* const use = find_use(each.share.team);
        if (use == nullptr || each.share.index >= use->shares.size())
            continue;
        share_use& share = use->shares[each.share.index];
        share.asked_for = 0;
        share.silences = std::min<std::uint8_t>(share.silences + 1, silences_before_closing);
        if (share.silences == silences_before_closing)
            share.closed_until = now + closing_time;
        serve_waiting(*use, now);
    }
}

void team_quotas::end_long_waits(time_point now)
{
    while (!waits_in_order_.empty() && now - waits_in_order_.front().first >= max_verdict_time) {
        team_use* const use = find_use(waits_in_order_.front().second);
        waits_in_order_.pop_front();
        if (use == nullptr)
            continue;
        while (!use->waiting.empty() && now - use->waiting.front().since >= max_verdict_time)
            end_wait(*use, make_refusal(*use, now));
    }
}

void team_quotas::forget_taken_tokens(time_point now)
{
    while (!taken_in_order_.empty() && now >= taken_in_order_.front().first) {
        auto const taken = taken_.find(taken_in_order_.front().second);
        if (taken != taken_.end() && now >= taken->second.usable_until)
            taken_.erase(taken);
        taken_in_order_.pop_front();
    }
}

void team_quotas::run_housekeeping(time_point now)
{
    housekeeping_due_ = now + housekeeping_interval;
    census_.expire(now);
    owner_.follow_census(now);
    owner_.expire(now);
    std::erase_if(uses_, [&](auto const& each) {
        return each.second.waiting.empty() && now - each.second.last_used > team_memory;
    });
}

std::size_t team_quotas::tokens_held() const
{
    std::size_t held = 0;
    for (auto const& [team, use] : uses_) {
        for (share_use const& each : use.shares)
            held += each.held;
    }
    return held;
}

} // namespace burdockstep
