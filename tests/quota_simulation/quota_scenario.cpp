#include "tests/quota_simulation/quota_scenario.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace burdockstep::testing {

namespace {

constexpr duration warm_up = std::chrono::seconds(3);
constexpr duration run_time = std::chrono::seconds(18);
/// Ordinary demand of a team, as a part of its quota's rate.
constexpr double ordinary_part = 0.6;
constexpr double min_admitted_part = 0.97;

class scenario
{
public:
    explicit scenario(std::uint64_t seed)
        : random_(seed * 7919 + 1), is_calm_(seed % 4 == 0), network_(make_options(seed))
    {}

    quota_scenario_result run()
    {
        make_teams();
        set_ordinary_loads();
        network_.configure(teams_);
        network_.run_for(warm_up);
        time_point const calm_from = network_.now();
        if (is_calm_)
            network_.run_for(run_time);
        else
            run_with_failures();
        check_rules(calm_from);
        return result_;
    }

private:
    quota_network_options make_options(std::uint64_t seed)
    {
        std::size_t const kind = random_.below(100);
        std::size_t entries = 2 + random_.below(9);
        if (kind >= 50)
            entries = 11 + random_.below(50);
        if (kind >= 90)
            entries = 61 + random_.below(60);
        if (kind >= 98)
            entries = 300;
        return {.entries = entries,
                .regions = 1 + random_.below(3),
                .datagram_loss = is_calm_ || random_.below(2) == 0 ? 0 : 0.05,
                .duplicates = is_calm_ ? 0 : 0.01,
                .unserved_part = is_calm_ || random_.below(2) == 0 ? 0 : 0.2,
                .seed = seed};
    }

    void make_teams()
    {
        constexpr double rates[] = {1, 2.5, 8, 30, 90, 300};
        for (double const rate : rates) {
            double const burst = 1 + rate * (0.2 + 1.8 * random_.uniform_fraction());
            teams_.push_back(make_limited_team(fmt::format("team-{}", teams_.size()), rate, burst));
        }
    }

    std::vector<quota_load> ordinary_loads() const
    {
        std::vector<quota_load> loads;
        for (std::size_t i = 0; i < teams_.size(); ++i)
            loads.push_back(
                {.team = i, .requests_per_s = teams_[i].quota.requests_per_s * ordinary_part});
        return loads;
    }

    void set_ordinary_loads() { network_.set_loads(ordinary_loads()); }

    void set_hot_load()
    {
        auto loads = ordinary_loads();
        std::size_t const hot = random_.below(teams_.size());
        double const times = 4 + 3 * random_.uniform_fraction();
        quota_load& load = loads[hot];
        load.requests_per_s *= times;
        if (random_.below(2) == 0) {
            load.entries = 1 + random_.below(std::min<std::size_t>(network_.entries(), 5));
            load.first_entry = random_.below(network_.entries() - load.entries + 1);
        }
        network_.set_loads(loads);
    }

    void set_load_of_all(double times)
    {
        auto loads = ordinary_loads();
        for (quota_load& each : loads)
            each.requests_per_s *= times;
        network_.set_loads(loads);
    }

    /// Lets bursts be saved up, and asks for all of them about when a failure begins.
    void flood_after_silence()
    {
        set_load_of_all(0.02);
        network_.run_for(random_duration(500, 4'000));
        duration const lead = random_duration(0, 300);
        if (random_.below(2) == 0) {
            set_load_of_all(7);
            network_.run_for(lead);
            cause_failure();
            return;
        }
        cause_failure();
        set_load_of_all(7);
        network_.run_for(lead);
    }

    void run_with_failures()
    {
        time_point const end = network_.now() + run_time;
        if (random_.below(3) > 0)
            set_hot_load();
        while (network_.now() < end) {
            network_.run_for(random_duration(200, 3'000));
            cause_failure();
        }
        heal();
        network_.run_for(std::chrono::seconds(3));
    }

    duration random_duration(std::uint64_t from_ms, std::uint64_t to_ms)
    {
        return std::chrono::milliseconds(from_ms + random_.below(to_ms - from_ms + 1));
    }

    std::vector<std::size_t> choose_entries(double part)
    {
        std::vector<std::size_t> chosen;
        for (std::size_t i = 0; i < network_.entries(); ++i) {
            if (network_.is_running(i) && random_.uniform_fraction() < part)
                chosen.push_back(i);
        }
        return chosen;
    }

    double random_part()
    {
        double const one = 1.0 / static_cast<double>(network_.entries());
        double const parts[] = {one, one, 0.3, 0.3, 0.6, 1.0};
        return parts[random_.below(std::size(parts))];
    }

    void cause_failure()
    {
        switch (random_.below(12)) {
        case 0:
            return kill_some();
        case 1:
            return freeze_some();
        case 2:
            return cut_regions();
        case 3:
            return cut_one_by_one();
        case 4:
            return roll();
        case 5:
            return change_quota();
        case 6:
            return set_hot_load();
        case 7:
            return freeze_an_owner();
        case 8:
        case 9:
            return flood_after_silence();
        default:
            return heal();
        }
    }

    void kill_some()
    {
        auto const killed = choose_entries(random_part());
        for (std::size_t const each : killed)
            network_.kill(each);
        network_.run_for(random_duration(100, 4'000));
        for (std::size_t const each : killed) {
            network_.start(each);
            if (random_.below(2) == 0)
                network_.run_for(random_duration(0, 20));
        }
    }

    void freeze_some()
    {
        auto const frozen = choose_entries(random_part());
        for (std::size_t const each : frozen)
            network_.freeze(each);
        network_.run_for(random_duration(100, 5'000));
        for (std::size_t const each : frozen)
            network_.wake(each);
    }

    void freeze_an_owner()
    {
        std::size_t const viewer = random_.below(network_.entries());
        if (!network_.is_running(viewer))
            return;
        std::size_t const owner = network_.owner_of(teams_.size() - 1, 0, viewer);
        if (!network_.is_running(owner))
            return;
        network_.freeze(owner);
        network_.run_for(random_duration(100, 4'000));
        network_.wake(owner);
    }

    void cut_regions()
    {
        std::size_t const parts = 2 + random_.below(2);
        for (std::size_t i = 0; i < network_.entries(); ++i)
            network_.set_group(i, static_cast<unsigned>(i % parts));
    }

    void cut_one_by_one()
    {
        unsigned group = 100;
        for (std::size_t const each : choose_entries(0.3))
            network_.set_group(each, ++group);
    }

    void heal()
    {
        for (std::size_t i = 0; i < network_.entries(); ++i)
            network_.set_group(i, 0);
    }

    void roll()
    {
        std::size_t const first = random_.below(network_.entries());
        for (std::size_t i = 0; i < 3; ++i) {
            std::size_t const entry = (first + i) % network_.entries();
            if (!network_.is_running(entry))
                continue;
            network_.stop_as_planned(entry);
            network_.run_for(random_duration(300, 900));
            network_.kill(entry);
            network_.run_for(random_duration(200, 1'000));
            network_.start(entry);
        }
    }

    void change_quota()
    {
        std::size_t const changed = random_.below(teams_.size());
        check_rule(changed, bound_from_);
        double const times = random_.below(2) == 0 ? 0.15 : 2.5;
        team_quota& quota = teams_[changed].quota;
        team_quota const before = quota;
        quota.requests_per_s = std::max(quota.requests_per_s * times, 0.5);
        quota.burst = std::max(quota.burst * times, 1.0);
        duration const spread = std::chrono::milliseconds(500);
        network_.configure(teams_, spread);
        network_.run_for(spread);
        bound_from_.resize(teams_.size());
        // Until all have the lower limit, the higher one is in force.
        bool const is_lower = quota.requests_per_s < before.requests_per_s;
        if (is_lower)
            bound_from_[changed] = network_.now();
    }

    void check_rule(std::size_t team, std::vector<time_point> const& bound_from)
    {
        time_point const from = team < bound_from.size() ? bound_from[team] : time_point();
        team_quota const& quota = teams_[team].quota;
        std::string const broken = network_.broken_rule(team, quota, from);
        if (!broken.empty())
            result_.violations.push_back(broken);
        double const allowed = quota.requests_per_s * 5 + quota.burst;
        double const excess = network_.largest_excess(team, quota, from) / (allowed * 0.1 + 20);
        result_.largest_excess = std::max(result_.largest_excess, excess);
    }

    void check_rules(time_point calm_from)
    {
        double due = 0;
        double ran = 0;
        for (std::size_t i = 0; i < teams_.size(); ++i) {
            check_rule(i, bound_from_);
            auto const& record = network_.record(i);
            result_.admitted += record.admitted.size();
            result_.undecided += record.undecided;
            double const part = network_.admitted_part(i, teams_[i].quota, calm_from);
            due += teams_[i].quota.requests_per_s;
            ran += teams_[i].quota.requests_per_s * std::min(part, 1.0);
        }
        result_.is_calm = is_calm_;
        result_.admitted_part = ran / due;
        if (is_calm_ && result_.admitted_part < min_admitted_part)
            result_.violations.push_back(
                fmt::format("in calm {:.4f} of what is due passes", result_.admitted_part));
    }

    random_source random_;
    bool is_calm_;
    quota_network network_;
    std::vector<team_settings> teams_;
    std::vector<time_point> bound_from_;
    quota_scenario_result result_;
};

} // namespace

quota_scenario_result run_quota_scenario(std::uint64_t seed)
{
    return scenario(seed).run();
}

double quota_datagrams_per_entry(std::size_t entries, std::uint64_t seed, bool with_hot_team)
{
    constexpr double seconds = 10;
    constexpr double requests_per_s_of_entry = 33;
    constexpr std::size_t teams = 74;
    quota_network network({.entries = entries, .seed = seed});
    std::vector<team_settings> settings;
    std::vector<quota_load> loads;
    double weights = 0;
    for (std::size_t i = 0; i < teams; ++i)
        weights += 1.0 / static_cast<double>(i + 1);
    for (std::size_t i = 0; i < teams; ++i) {
        double const load = requests_per_s_of_entry * static_cast<double>(entries) /
                            static_cast<double>(i + 1) / weights;
        double const rate = load / ordinary_part;
        settings.push_back(make_limited_team(fmt::format("team-{}", i), rate, rate));
        loads.push_back({.team = i, .requests_per_s = load});
    }
    if (with_hot_team)
        loads[0].requests_per_s *= 7;
    network.configure(settings);
    network.set_loads(loads);
    network.run_for(std::chrono::seconds(3));
    std::uint64_t const before = network.datagrams();
    network.run_for(std::chrono::seconds(static_cast<int>(seconds)));
    return static_cast<double>(network.datagrams() - before) / seconds /
           static_cast<double>(entries);
}

} // namespace burdockstep::testing
