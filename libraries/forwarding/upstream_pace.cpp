#include "libraries/forwarding/upstream_pace.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockstep {

char const* name_of(pace_state state)
{
    switch (state) {
    case pace_state::steady:
        return "steady";
    case pace_state::rising:
        return "rising";
    case pace_state::careful:
        return "careful";
    }
    return "unknown";
}

char const* name_of(pace_reason reason)
{
    switch (reason) {
    case pace_reason::started:
        return "started";
    case pace_reason::became_cold:
        return "became-cold";
    case pace_reason::returned:
        return "returned";
    case pace_reason::pause_ended:
        return "pause-ended";
    case pace_reason::evacuation:
        return "evacuation";
    case pace_reason::slow:
        return "slow";
    case pace_reason::slower:
        return "slower";
    case pace_reason::shed:
        return "shed";
    case pace_reason::failed:
        return "failed";
    case pace_reason::carries_slots:
        return "carries-slots";
    case pace_reason::expired:
        return "expired";
    }
    return "unknown";
}

unsigned upstream_pace::first_limit() const
{
    return 1 + static_cast<unsigned>(options_.first_slot_fraction * slots_);
}

unsigned upstream_pace::ceiling() const
{
    return cold_ ? (slots_ + 1) / 2 : slots_;
}

void upstream_pace::begin(pace_reason reason, time_point now)
{
    begin_at(first_limit(), reason, now);
}

void upstream_pace::begin_at(unsigned limit, pace_reason reason, time_point now)
{
    if (slots_ <= 1)
        return; // One request is the least that any limit allows.
    state_ = pace_state::rising;
    limit_ = std::clamp(limit, 1U, slots_);
    doubling_end_ = slots_;
    best_ratio_ = 0;
    begun_at_ = now;
    slow_since_.reset();
    fell_at_.reset();
    begin_round(now);
    note_change(reason);
}

void upstream_pace::set_slots(unsigned slots)
{
    slots_ = slots;
    limit_ = std::min(limit_, std::max(slots, 1U));
}

void upstream_pace::begin_round(time_point now)
{
    round_begun_at_ = now;
    answers_of_round_ = 0;
    ratios_of_round_ = 0;
}

void upstream_pace::record_answer(double time_ratio, time_point sent_at, time_point now)
{
    if (is_steady() || sent_at < round_begun_at_)
        return;
    ++answers_of_round_;
    ratios_of_round_ += time_ratio;
    if (answers_of_round_ >= std::max(limit_, options_.min_answers_of_round))
        end_round(now);
}

void upstream_pace::record_average_ratio(double ratio, time_point now)
{
    if (ratio < options_.recovered_ratio)
        known_as_slow_ = false;
    if (ratio < options_.slow_ratio) {
        slow_since_.reset();
        return;
    }
    if (!is_steady() || known_as_slow_)
        return;
    if (!slow_since_)
        slow_since_ = now;
    if (now - *slow_since_ < options_.slow_duration)
        return;
    known_as_slow_ = true;
    begin_at(slots_ / 2, pace_reason::slow, now);
}

void upstream_pace::update(unsigned own_under_way, time_point now)
{
    if (is_steady())
        return;
    if (now - begun_at_ >= options_.max_duration && !cold_) {
        become_steady(pace_reason::expired);
        return;
    }
    bool const awaits_answers = answers_of_round_ == 0 && own_under_way > 0;
    duration const longest =
        options_.max_round * (awaits_answers ? options_.max_rounds_without_answer : 1);
    if (now - round_begun_at_ >= longest)
        end_round(now);
}

void upstream_pace::end_round(time_point now)
{
    if (answers_of_round_ == 0) {
        rise(true, now);
        return;
    }
    double const mean = ratios_of_round_ / answers_of_round_;
    bool const holds_to_service = mean <= options_.max_ratio_to_service;
    bool const holds_to_itself =
        best_ratio_ <= 0 || mean <= best_ratio_ * options_.max_ratio_to_own_best;
    best_ratio_ = best_ratio_ <= 0 ? mean : std::min(best_ratio_, mean);
    if (holds_to_service || holds_to_itself)
        rise(holds_to_service, now);
    else
        fall_back(pace_reason::slower, now);
}

void upstream_pace::rise(bool holds_to_service, time_point now)
{
    unsigned const before = limit_;
    // An upstream that is slow at any limit gets more requests too, but in smaller steps, as others
    // answer sooner.
    unsigned const step = holds_to_service ? limit_ : (limit_ + 1) / 2;
    limit_ = limit_ < doubling_end_ ? std::min(limit_ + step, std::max(doubling_end_, limit_ + 1))
                                    : limit_ + 1;
    limit_ = std::max(std::min(limit_, ceiling()), std::min(before, slots_));
    begin_round(now);
    if (before >= slots_ && !cold_)
        become_steady(pace_reason::carries_slots);
}

void upstream_pace::fall_back(pace_reason reason, time_point now)
{
    if (is_steady() || (fell_at_ && now - *fell_at_ < options_.min_fall_interval))
        return;
    fell_at_ = now;
    unsigned const before = limit_;
    limit_ = std::max(limit_ / 2, 1U);
    doubling_end_ = limit_;
    state_ = pace_state::careful;
    begin_round(now);
    if (limit_ != before)
        note_change(reason);
}

void upstream_pace::become_steady(pace_reason reason)
{
    state_ = pace_state::steady;
    limit_ = slots_;
    note_change(reason);
}

void upstream_pace::note_change(pace_reason reason)
{
    change_ = {.state = state_, .limit = limit(), .reason = reason};
}

std::optional<pace_change> upstream_pace::take_change()
{
    return std::exchange(change_, std::nullopt);
}

} // namespace burdockstep
