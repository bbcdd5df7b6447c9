#include "libraries/discovery/directives_confirmation.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace burdockstep {

namespace {

/// The pause between reads of the store doubles this many times at most.
constexpr unsigned max_doublings = 2;
/// When nothing is due, `tick` is still called this often.
constexpr duration longest_tick_interval = std::chrono::milliseconds(500);
constexpr duration min_tick_interval = std::chrono::milliseconds(1);

/// Milliseconds, rounded up so that a proof is never stated newer than it is.
std::uint64_t milliseconds_rounded_up(duration age)
{
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(std::max(age, duration::zero())).count());
}

} // namespace

directives_confirmation::directives_confirmation(directives_confirmation_options options,
                                                 random_source& random)
    : options_(options), random_(random),
      // Random, so that no answer to a question of an earlier run matches one of this run.
      last_number_(random.next()), store_age_limit_(random_store_age())
{}

void directives_confirmation::set_sources(std::vector<address> preferred,
                                          std::vector<address> others, std::vector<address> lost)
{
    preferred_ = std::move(preferred);
    others_ = std::move(others);
    lost_ = std::move(lost);
}

void directives_confirmation::note_era(store_era era)
{
    newest_era_ = std::max(newest_era_, era);
    if (early_proof_ && early_proof_->position.era < newest_era_)
        early_proof_.reset();
}

void directives_confirmation::handle_store_answer(store_position applied, time_point call_started)
{
    handle_applied(applied);
    if (applied.era < newest_era_)
        return;
    ++counters_.proofs_from_store;
    confirm(call_started);
}

void directives_confirmation::handle_applied(store_position applied)
{
    applied_ = std::max(applied_, applied);
    if (!early_proof_ || applied_ < early_proof_->position)
        return;
    confirm(early_proof_->fresh_as_of);
    early_proof_.reset();
}

void directives_confirmation::confirm(time_point fresh_as_of)
{
    if (fresh_as_of_ && *fresh_as_of_ >= fresh_as_of)
        return;
    fresh_as_of_ = fresh_as_of;
    store_reads_without_proof_ = 0;
}

wire::directives_proof directives_confirmation::answer(wire::directives_question const& question,
                                                       time_point now)
{
    ++counters_.questions_answered;
    wire::directives_proof proof{.number = question.number, .position = applied_};
    if (!fresh_as_of_)
        return proof;
    std::uint64_t const age = milliseconds_rounded_up(now - *fresh_as_of_);
    proof.is_proven = age <= std::numeric_limits<std::uint32_t>::max();
    proof.age_ms = proof.is_proven ? static_cast<std::uint32_t>(age) : 0;
    return proof;
}

confirmation_actions directives_confirmation::handle_proof(wire::directives_proof const& proof,
                                                           time_point now)
{
    confirmation_actions out;
    auto const found = std::find_if(questions_.begin(), questions_.end(), [&](auto const& each) {
        return each.is_open && each.number == proof.number;
    });
    if (found == questions_.end())
        return out;
    found->is_open = false;
    if (proof.number == last_number_)
        answer_due_at_.reset();
    time_point const fresh_as_of = found->sent_at - std::chrono::milliseconds(proof.age_ms);
    bool const is_newer = proof.is_proven && proof.position.era >= newest_era_ &&
                          (!fresh_as_of_ || fresh_as_of > *fresh_as_of_);
    if (!is_newer) {
        ++counters_.proofs_without_use;
    }
    else if (proof.position <= applied_) {
        ++counters_.proofs_from_entries;
        confirm(fresh_as_of);
    }
    else {
        ++counters_.proofs_for_newer;
        out.read_directives = proof.position;
        bool const replaces_early_proof = !early_proof_ || early_proof_->fresh_as_of < fresh_as_of;
        if (replaces_early_proof)
            early_proof_ = {.position = proof.position, .fresh_as_of = fresh_as_of};
        asked_next_.clear();
    }
    bool const helped = !is_older_than(options_.sufficient_age, now);
    if (helped)
        asked_next_.clear();
    else if (!answer_due_at_)
        ask_next(now, out);
    return out;
}

confirmation_actions directives_confirmation::want_early(time_point now)
{
    confirmation_actions out;
    bool const began_lately = round_began_at_ && now - *round_began_at_ < options_.early_interval;
    if (!is_active_ || began_lately)
        return out;
    begin_round(now, out);
    out.read_changes = reads_store_;
    return out;
}

confirmation_actions directives_confirmation::tick(time_point now)
{
    confirmation_actions out;
    if (!is_active_)
        return out;
    if (answer_due_at_ && now >= *answer_due_at_) {
        answer_due_at_.reset();
        ask_next(now, out);
    }
    if (is_round_due(now))
        begin_round(now, out);
    read_store_if_due(now, out);
    return out;
}

time_point directives_confirmation::next_tick(time_point now) const
{
    time_point next = now + longest_tick_interval;
    if (answer_due_at_)
        next = std::min(next, *answer_due_at_);
    // A round that is overdue isn't needed, or waits for an answer.
    if (round_began_at_ && *round_began_at_ + options_.round_interval > now)
        next = std::min(next, *round_began_at_ + options_.round_interval);
    return std::max(next, now + min_tick_interval);
}

bool directives_confirmation::is_older_than(duration age, time_point now) const
{
    return !fresh_as_of_ || now - *fresh_as_of_ > age;
}

bool directives_confirmation::is_round_due(time_point now) const
{
    bool const is_interval_over =
        !round_began_at_ || now - *round_began_at_ >= options_.round_interval;
    bool const needs_others = !reads_store_ || is_older_than(options_.sufficient_age, now);
    return is_interval_over && needs_others && !answer_due_at_;
}

void directives_confirmation::begin_round(time_point now, confirmation_actions& out)
{
    round_began_at_ = now;
    asked_next_.assign(preferred_.rbegin(), preferred_.rend());
    while (!others_.empty() && asked_next_.size() < options_.max_questions_per_round)
        asked_next_.insert(asked_next_.begin(), random_one_of(others_));
    bool const asks_lost = !lost_.empty() && is_older_than(options_.store_age, now);
    if (asks_lost && asked_next_.size() >= options_.max_questions_per_round)
        asked_next_.front() = random_one_of(lost_);
    else if (asks_lost)
        asked_next_.insert(asked_next_.begin(), random_one_of(lost_));
    ask_next(now, out);
}

address directives_confirmation::random_one_of(std::vector<address> const& entries)
{
    return entries[random_.below(entries.size())];
}

void directives_confirmation::ask_next(time_point now, confirmation_actions& out)
{
    if (asked_next_.empty())
        return;
    open_question& question = questions_.at(++last_number_ % questions_.size());
    question = {.number = last_number_, .sent_at = now, .is_open = true};
    out.question = {.to = asked_next_.back(), .question = {.number = last_number_}};
    asked_next_.pop_back();
    answer_due_at_ = now + options_.answer_timeout;
    ++counters_.questions_sent;
}

void directives_confirmation::read_store_if_due(time_point now, confirmation_actions& out)
{
    if (reads_store_ || !is_older_than(store_age_limit_, now))
        return;
    unsigned const doublings = std::min(store_reads_without_proof_, max_doublings);
    if (store_read_at_ && now - *store_read_at_ < options_.store_read_interval * (1U << doublings))
        return;
    store_read_at_ = now;
    ++store_reads_without_proof_;
    ++counters_.store_reads;
    out.read_changes = true;
    store_age_limit_ = random_store_age();
}

duration directives_confirmation::random_store_age()
{
    return options_.store_age + std::chrono::duration_cast<duration>(options_.store_age_spread *
                                                                     random_.uniform_fraction());
}

} // namespace burdockstep
