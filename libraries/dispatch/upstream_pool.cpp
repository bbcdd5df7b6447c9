#include "libraries/dispatch/upstream_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockstep {

namespace {

/// Weight of the newest latency in the moving average.
constexpr double latency_smoothing_factor = 0.1;
/// Amount by which each answered request raises an upstream's `overcommit_scale`.
constexpr double overcommit_recovery = 0.02;
constexpr double min_service_time_us = 1'000.0;
/// Latency of an upstream that has not answered yet.
constexpr double default_latency_us = 20'000.0;

} // namespace

std::vector<pool_command> upstream_pool::set_members(std::vector<pool_member> const& members,
                                                     time_point now)
{
    for (auto& [name, state] : members_)
        state.removed = true;
    for (pool_member const& each : members) {
        member_state& state = members_[each.name];
        state.member = each;
        state.removed = false;
    }
    // A removed upstream is kept until its last request has ended.
    std::erase_if(members_, [](auto const& named_member) {
        return named_member.second.removed && named_member.second.in_flight == 0;
    });
    return dispatch_waiting(now);
}

void upstream_pool::set_leaving(upstream_name const& upstream, bool leaving)
{
    auto const found = members_.find(upstream);
    if (found != members_.end())
        found->second.leaving = leaving;
}

double upstream_pool::in_flight_limit(member_state const& state) const
{
    auto const slots = static_cast<double>(state.member.slots.get());
    auto const round_trip = static_cast<double>(state.member.round_trip.count());
    double const latency_us =
        state.mean_latency_us > 0 ? state.mean_latency_us : default_latency_us;
    double const service_time_us = std::max(latency_us - round_trip, min_service_time_us);
    double const overcommit_ratio =
        std::min(round_trip / service_time_us, options_.max_overcommit_ratio) *
        state.overcommit_scale;
    return std::max(1.0, std::ceil(slots * (1.0 + overcommit_ratio)));
}

bool upstream_pool::is_usable(member_state const& state, time_point now) const
{
    if (state.leaving || state.removed || now < state.unusable_until)
        return false;
    return state.in_flight < in_flight_limit(state);
}

upstream_pool::member_state* upstream_pool::choose_upstream(pool_request const& request,
                                                            time_point now)
{
    member_state* best = nullptr;
    auto const load = [](member_state const& state) {
        return (state.in_flight + 1.0) / state.member.slots.get();
    };
    for (auto& [name, state] : members_) {
        bool const excluded =
            std::find(request.excluded_upstreams.begin(), request.excluded_upstreams.end(), name) !=
            request.excluded_upstreams.end();
        if (excluded || !is_usable(state, now))
            continue;
        bool const better =
            best == nullptr || load(state) < load(*best) ||
            (load(state) == load(*best) && state.last_dispatch_number < best->last_dispatch_number);
        if (better)
            best = &state;
    }
    return best;
}

duration upstream_pool::expected_wait() const
{
    double rate_per_us = 0;
    for (auto const& [name, state] : members_) {
        if (state.leaving || state.removed)
            continue;
        double const latency_us =
            state.mean_latency_us > 0 ? state.mean_latency_us : default_latency_us;
        rate_per_us += in_flight_limit(state) / latency_us;
    }
    if (rate_per_us == 0)
        return duration::max();
    return duration(static_cast<std::int64_t>(static_cast<double>(waiting_.size()) / rate_per_us));
}

std::vector<pool_command> upstream_pool::submit(pool_request request, time_point now)
{
    bool const has_candidate =
        std::any_of(members_.begin(), members_.end(), [&](auto const& named_member) {
            bool const excluded =
                std::find(request.excluded_upstreams.begin(), request.excluded_upstreams.end(),
                          named_member.first) != request.excluded_upstreams.end();
            return !excluded && !named_member.second.leaving && !named_member.second.removed;
        });
    if (!has_candidate)
        return {reject_command{.id = request.id, .reason = refusal_reason::no_upstream}};
    if (now >= request.deadline)
        return {reject_command{.id = request.id, .reason = refusal_reason::deadline_passed}};
    duration const wait = expected_wait();
    bool const wait_too_long = wait > options_.max_expected_wait || now + wait >= request.deadline;
    if (waiting_.size() >= options_.max_queued || wait_too_long)
        return {reject_command{.id = request.id, .reason = refusal_reason::no_room}};
    waiting_.push_back(std::move(request));
    return dispatch_waiting(now);
}

std::vector<pool_command> upstream_pool::dispatch_waiting(time_point now)
{
    std::vector<pool_command> commands;
    std::size_t skipped = 0;
    while (skipped < waiting_.size()) {
        pool_request const& next = waiting_[skipped];
        member_state* const chosen = choose_upstream(next, now);
        if (chosen == nullptr) {
            // If a request without excluded upstreams can't be dispatched, no other one can. One
            // with excluded upstreams is skipped, because the requests behind it may have more
            // choice.
            if (next.excluded_upstreams.empty())
                break;
            ++skipped;
            continue;
        }
        ++chosen->in_flight;
        chosen->last_dispatch_number = ++dispatch_count_;
        dispatched_requests_.emplace(
            next.id, dispatched_request{.upstream = chosen->member.name, .dispatched_at = now});
        commands.emplace_back(dispatch_command{.id = next.id, .upstream = chosen->member.name});
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(skipped));
    }
    return commands;
}

void upstream_pool::cancel_queued(request_id id)
{
    std::erase_if(waiting_, [&](pool_request const& each) { return each.id == id; });
}

void upstream_pool::note_head(request_id id, time_point now)
{
    auto const found = dispatched_requests_.find(id);
    if (found == dispatched_requests_.end() || found->second.head_received)
        return;
    found->second.head_received = true;
    auto const member = members_.find(found->second.upstream);
    if (member == members_.end())
        return;
    auto const latency_us = static_cast<double>((now - found->second.dispatched_at).count());
    double& mean = member->second.mean_latency_us;
    mean = mean == 0 ? latency_us : mean + latency_smoothing_factor * (latency_us - mean);
}

std::vector<pool_command> upstream_pool::finish(request_id id, pool_result result, time_point now)
{
    auto const found = dispatched_requests_.find(id);
    if (found == dispatched_requests_.end())
        return {};
    dispatched_request const ended_request = found->second;
    dispatched_requests_.erase(found);
    auto const member = members_.find(ended_request.upstream);
    if (member != members_.end()) {
        --member->second.in_flight;
        apply_result(member->second, result, now);
        if (member->second.removed && member->second.in_flight == 0)
            members_.erase(member);
    }
    return dispatch_waiting(now);
}

void upstream_pool::apply_result(member_state& state, pool_result result, time_point now)
{
    switch (result) {
    case pool_result::answered:
        state.consecutive_failures = 0;
        state.ejection_duration = duration::zero();
        state.overcommit_scale = std::min(1.0, state.overcommit_scale + overcommit_recovery);
        return;
    case pool_result::shed:
        state.overcommit_scale /= 2;
        state.unusable_until = std::max(state.unusable_until, now + options_.shed_pause);
        return;
    case pool_result::not_connected:
    case pool_result::lost:
        note_failure(state, now);
        return;
    case pool_result::cancelled:
        return;
    }
}

void upstream_pool::note_failure(member_state& state, time_point now)
{
    if (++state.consecutive_failures < options_.failures_to_eject)
        return;
    // After an ejection, a single failure ejects the upstream again, for twice as long, until it
    // answers a request.
    state.consecutive_failures = options_.failures_to_eject - 1;
    state.ejection_duration =
        state.ejection_duration == duration::zero()
            ? options_.first_ejection_duration
            : std::min(2 * state.ejection_duration, options_.max_ejection_duration);
    state.unusable_until = now + state.ejection_duration;
}

std::vector<pool_command> upstream_pool::tick(time_point now)
{
    std::vector<pool_command> commands;
    for (auto each = waiting_.begin(); each != waiting_.end();) {
        if (now < each->deadline) {
            ++each;
            continue;
        }
        commands.emplace_back(
            reject_command{.id = each->id, .reason = refusal_reason::deadline_passed});
        each = waiting_.erase(each);
    }
    for (pool_command& each : dispatch_waiting(now))
        commands.push_back(std::move(each));
    return commands;
}

pool_load upstream_pool::load() const
{
    pool_load totals;
    for (auto const& [name, state] : members_) {
        if (!state.leaving && !state.removed)
            totals.slots += state.member.slots.get();
        totals.in_flight += state.in_flight;
    }
    totals.queued = static_cast<std::uint32_t>(waiting_.size());
    return totals;
}

duration upstream_pool::mean_latency(upstream_name const& upstream) const
{
    auto const found = members_.find(upstream);
    if (found == members_.end())
        return duration::zero();
    return duration(static_cast<std::int64_t>(found->second.mean_latency_us));
}

std::vector<pool_member_view> upstream_pool::members(time_point now) const
{
    std::vector<pool_member_view> views;
    for (auto const& [name, state] : members_) {
        views.push_back({.name = name,
                         .slots = state.member.slots.get(),
                         .in_flight = state.in_flight,
                         .mean_latency = duration(static_cast<std::int64_t>(state.mean_latency_us)),
                         .leaving = state.leaving || state.removed,
                         .ejected = now < state.unusable_until});
    }
    return views;
}

} // namespace burdockstep
