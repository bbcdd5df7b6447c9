#include "tests/fakes/quota_network.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace burdockstep::testing {

namespace {

constexpr duration window = std::chrono::seconds(5);
constexpr double window_s = 5;
constexpr double overshoot = 0.1;
constexpr double slack = 20;
constexpr duration question_delay = std::chrono::milliseconds(2);

std::string name_of_entry(std::size_t entry)
{
    return fmt::format("entry-{}", entry);
}

address address_of(std::size_t entry)
{
    return {.ip = static_cast<std::uint32_t>(entry + 1), .port = 1};
}

std::size_t entry_at(address const& at)
{
    return at.ip - 1;
}

} // namespace

team_settings make_limited_team(std::string const& name, double requests_per_s, double burst)
{
    team_settings team;
    team.name = team_name(name);
    team.quota = {.requests_per_s = requests_per_s, .burst = burst};
    return team;
}

quota_network::quota_network(quota_network_options const& options)
    : options_(options), random_(options.seed)
{
    nodes_.resize(options.entries);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        start(i);
}

void quota_network::at(time_point time, action run)
{
    queue_.push({.at = time, .order = next_order_++, .run = std::move(run)});
}

void quota_network::at_node(std::size_t entry, duration delay, action run)
{
    std::uint64_t const node_run = nodes_[entry].run;
    at(now_ + delay, [this, entry, node_run, run = std::move(run)] {
        node& target = nodes_[entry];
        if (!target.is_up || target.run != node_run)
            return;
        if (target.is_frozen)
            target.backlog.push_back(run);
        else
            run();
    });
}

duration quota_network::random_duration(duration from, duration to)
{
    auto const span = static_cast<std::uint64_t>((to - from).count()) + 1;
    return from + duration(static_cast<duration::rep>(random_.below(span)));
}

void quota_network::run_for(duration time)
{
    time_point const end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
        scheduled const next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
}

void quota_network::configure(std::vector<team_settings> teams, duration spread)
{
    teams_ = std::move(teams);
    records_.resize(std::max(records_.size(), teams_.size()));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        duration const delay = random_duration({}, spread);
        at_node(i, delay,
                [this, i, teams = teams_] { nodes_[i].quotas->update_teams(teams, now_); });
    }
    run_for({});
}

void quota_network::set_loads(std::vector<quota_load> loads)
{
    loads_ = std::move(loads);
    ++load_generation_;
    for (std::size_t i = 0; i < loads_.size(); ++i)
        schedule_arrival(i, load_generation_);
}

void quota_network::schedule_arrival(std::size_t load, std::uint64_t generation)
{
    double const mean_us = 1e6 / loads_[load].requests_per_s;
    duration const delay{static_cast<duration::rep>(random_.exponential(mean_us))};
    at(now_ + delay, [this, load, generation] {
        if (generation != load_generation_)
            return;
        quota_load const& each = loads_[load];
        std::size_t const count = each.entries == 0 ? nodes_.size() : each.entries;
        std::size_t const entry = each.first_entry + random_.below(count);
        if (is_running(entry))
            submit(entry, each.team);
        schedule_arrival(load, generation);
    });
}

quota_answer quota_network::ask(std::size_t entry, std::size_t team)
{
    return submit(entry, team);
}

quota_answer quota_network::submit(std::size_t entry, std::size_t team)
{
    request_id const id(++next_request_);
    requests_[id] = {.team = team, .sent_at = now_};
    records_[team].arrived.push_back(now_);
    quota_answer const answer = nodes_[entry].quotas->ask(id, teams_[team], now_);
    if (answer.verdict != quota_verdict::pending)
        finish(entry, id, answer);
    flush(entry);
    return answer;
}

void quota_network::finish(std::size_t entry, request_id request, quota_answer const& answer)
{
    auto const found = requests_.find(request);
    if (found == requests_.end())
        return;
    request_record const ended = found->second;
    requests_.erase(found);
    team_record& record = records_[ended.team];
    record.longest_wait = std::max(record.longest_wait, now_ - ended.sent_at);
    record.over_quota += answer.verdict == quota_verdict::over_quota ? 1 : 0;
    record.undecided += answer.verdict == quota_verdict::undecided ? 1 : 0;
    if (answer.verdict != quota_verdict::admitted)
        return;
    if (random_.uniform_fraction() >= options_.unserved_part) {
        record.admitted.push_back(now_);
        return;
    }
    at_node(entry, random_duration({}, std::chrono::milliseconds(400)),
            [this, entry, request, team = ended.team] {
                nodes_[entry].quotas->give_back(request, teams_[team], now_);
                flush(entry);
            });
}

void quota_network::flush(std::size_t entry)
{
    node& flushed = nodes_[entry];
    for (late_quota_verdict const& each : flushed.quotas->take_verdicts())
        finish(entry, each.request, each.answer);
    if (!flushed.quotas->has_questions() || std::exchange(flushed.questions_scheduled, true))
        return;
    at_node(entry, question_delay, [this, entry] {
        nodes_[entry].questions_scheduled = false;
        for (quota_question_batch const& each : nodes_[entry].quotas->take_questions(now_))
            deliver_batch(entry, each);
    });
}

void quota_network::deliver_batch(std::size_t from, quota_question_batch const& batch)
{
    std::size_t const to = entry_at(batch.to);
    send(from, to, [this, from, to, batch] {
        auto grants = nodes_[to].quotas->answer(batch.questions, now_);
        send(to, from, [this, from, number = batch.number, grants = std::move(grants)] {
            nodes_[from].quotas->handle_grants(number, grants, now_);
            flush(from);
        });
    });
}

void quota_network::send(std::size_t from, std::size_t to, action deliver)
{
    ++datagrams_;
    if (!can_reach(from, to) || random_.uniform_fraction() < options_.datagram_loss)
        return;
    bool const is_near = from % options_.regions == to % options_.regions;
    duration const base = is_near ? std::chrono::microseconds(500) : std::chrono::milliseconds(12);
    if (random_.uniform_fraction() < options_.duplicates)
        at_node(to, base + random_duration({}, std::chrono::milliseconds(200)), deliver);
    at_node(to, base + random_duration({}, std::chrono::milliseconds(3)), std::move(deliver));
}

bool quota_network::can_reach(std::size_t from, std::size_t to) const
{
    return nodes_[from].is_up && nodes_[to].is_up && nodes_[from].group == nodes_[to].group;
}

void quota_network::schedule_tick(std::size_t entry)
{
    at_node(entry, team_quotas::tick_interval, [this, entry] {
        nodes_[entry].quotas->tick(now_);
        flush(entry);
        schedule_tick(entry);
    });
}

void quota_network::kill(std::size_t entry)
{
    nodes_[entry].is_up = false;
    ++nodes_[entry].run;
    schedule_views_of(entry);
}

void quota_network::start(std::size_t entry)
{
    node& started = nodes_[entry];
    std::uint64_t const run = started.run + 1;
    unsigned const group = started.group;
    started = {};
    started.run = run;
    started.group = group;
    started.is_up = true;
    started.sees.assign(nodes_.size(), false);
    started.saw_stop.assign(nodes_.size(), false);
    started.sees[entry] = true;
    started.quotas = std::make_unique<team_quotas>(instance_name(name_of_entry(entry)),
                                                   quota_question_number(random_.next()), now_);
    refresh_view(entry);
    if (!teams_.empty())
        started.quotas->update_teams(teams_, now_);
    schedule_tick(entry);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (i == entry)
            continue;
        schedule_view(entry, i);
        schedule_view(i, entry);
    }
}

void quota_network::stop_as_planned(std::size_t entry)
{
    nodes_[entry].stops = true;
    refresh_view(entry);
    schedule_views_of(entry);
}

void quota_network::freeze(std::size_t entry)
{
    nodes_[entry].is_frozen = true;
    schedule_views_of(entry);
}

void quota_network::wake(std::size_t entry)
{
    nodes_[entry].is_frozen = false;
    for (action const& each : std::exchange(nodes_[entry].backlog, {}))
        each();
    schedule_views_of(entry);
}

void quota_network::set_group(std::size_t entry, unsigned group)
{
    nodes_[entry].group = group;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (i == entry)
            continue;
        schedule_view(entry, i);
        schedule_view(i, entry);
    }
}

void quota_network::schedule_views_of(std::size_t entry)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (i != entry)
            schedule_view(i, entry);
    }
}

void quota_network::schedule_view(std::size_t viewer, std::size_t entry)
{
    if (!nodes_[viewer].is_up)
        return;
    bool const is_visible = can_reach(viewer, entry) && !nodes_[entry].is_frozen;
    duration const delay =
        is_visible ? random_duration(std::chrono::milliseconds(5), options_.max_return_detection)
                   : random_duration(options_.min_loss_detection, options_.max_loss_detection);
    at_node(viewer, delay, [this, viewer, entry] {
        node& seen_by = nodes_[viewer];
        bool const is_seen = can_reach(viewer, entry) && !nodes_[entry].is_frozen;
        bool const stops = is_seen ? nodes_[entry].stops : bool(seen_by.saw_stop[entry]);
        if (seen_by.sees[entry] == is_seen && seen_by.saw_stop[entry] == stops)
            return;
        seen_by.sees[entry] = is_seen;
        seen_by.saw_stop[entry] = stops;
        if (std::exchange(seen_by.view_is_stale, true))
            return;
        // Views are published together, as the membership does.
        at_node(viewer, std::chrono::milliseconds(10), [this, viewer] {
            nodes_[viewer].view_is_stale = false;
            refresh_view(viewer);
        });
    });
}

void quota_network::refresh_view(std::size_t viewer)
{
    node& seen_by = nodes_[viewer];
    std::vector<quota_entry> entries;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        bool const stops = i == viewer ? seen_by.stops : bool(seen_by.saw_stop[i]);
        bool const is_near = i % options_.regions == viewer % options_.regions;
        quota_distance const distance =
            is_near ? quota_distance::same_region : quota_distance::other_region;
        entries.push_back({.instance = instance_name(name_of_entry(i)),
                           .at = address_of(i),
                           .distance = i == viewer ? quota_distance::itself : distance,
                           .is_alive = seen_by.sees[i] && !stops,
                           .leaves_as_planned = stops});
    }
    seen_by.quotas->update_entries(entries, now_);
}

std::size_t quota_network::owner_of(std::size_t team, std::uint8_t share, std::size_t viewer)
{
    quota_census census(instance_name(name_of_entry(viewer)), now_);
    std::vector<quota_entry> entries;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        entries.push_back({.instance = instance_name(name_of_entry(i)),
                           .at = address_of(i),
                           .is_alive = nodes_[viewer].sees[i] && !nodes_[viewer].saw_stop[i]});
    census.update(entries, now_);
    return entry_at(census.owner_of({.team = hash_of_team(teams_[team].name), .index = share})->at);
}

double quota_network::largest_excess(std::size_t team, team_quota const& quota,
                                     time_point from) const
{
    std::vector<time_point> const& admitted = records_[team].admitted;
    double const allowed = quota.requests_per_s * window_s + quota.burst;
    double excess = -allowed;
    auto first = std::lower_bound(admitted.begin(), admitted.end(), from);
    for (auto last = first; last != admitted.end(); ++last) {
        while (*last - *first > window)
            ++first;
        excess = std::max(excess, static_cast<double>(last - first + 1) - allowed);
    }
    return excess;
}

std::string quota_network::broken_rule(std::size_t team, team_quota const& quota,
                                       time_point from) const
{
    double const allowed = quota.requests_per_s * window_s + quota.burst;
    double const excess = largest_excess(team, quota, from);
    if (excess <= allowed * overshoot + slack)
        return {};
    return fmt::format("team {}: {:.0f} requests within 5 s, {:.0f} allowed, {:.0f} tolerated",
                       team, allowed + excess, allowed, allowed * (1 + overshoot) + slack);
}

double quota_network::admitted_part(std::size_t team, team_quota const& quota,
                                    time_point from) const
{
    double tokens = quota.burst;
    double due = 0;
    time_point filled_at = from;
    for (time_point const each : records_[team].arrived) {
        if (each < from)
            continue;
        double const elapsed_s = std::chrono::duration<double>(each - filled_at).count();
        tokens = std::min(tokens + elapsed_s * quota.requests_per_s, std::max(quota.burst, 1.0));
        filled_at = each;
        if (tokens < 1)
            continue;
        tokens -= 1;
        due += 1;
    }
    std::vector<time_point> const& admitted = records_[team].admitted;
    auto const ran = admitted.end() - std::lower_bound(admitted.begin(), admitted.end(), from);
    return due > 0 ? static_cast<double>(ran) / due : 1;
}

} // namespace burdockstep::testing
