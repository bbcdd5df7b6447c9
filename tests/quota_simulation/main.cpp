/// Runs entries that share the quotas of teams with many seeds and prints the violations found.
///
/// To repeat a single seed, run `burdockstep-quota-simulation --first SEED --seeds 1`.
#include "tests/quota_simulation/quota_scenario.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace burdockstep;
using namespace burdockstep::testing;
namespace options = boost::program_options;

/// Totals over all seeds.
struct summary
{
    std::mutex mutex;
    std::uint64_t failed = 0;
    std::uint64_t admitted = 0;
    std::uint64_t undecided = 0;
    double least_admitted_part = 1;
    double largest_excess = -1;

    void add(std::uint64_t seed, quota_scenario_result const& result)
    {
        std::lock_guard const lock(mutex);
        admitted += result.admitted;
        undecided += result.undecided;
        largest_excess = std::max(largest_excess, result.largest_excess);
        if (result.is_calm)
            least_admitted_part = std::min(least_admitted_part, result.admitted_part);
        failed += result.violations.empty() ? 0 : 1;
        for (std::string const& each : result.violations)
            fmt::print("seed {}: {}\n", seed, each);
    }
};

int run(std::uint64_t first, std::uint64_t seeds, unsigned threads)
{
    summary totals;
    std::atomic<std::uint64_t> next = first;
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::uint64_t seed = next++; seed < first + seeds; seed = next++)
                totals.add(seed, run_quota_scenario(seed));
        });
    }
    for (std::thread& each : workers)
        each.join();
    fmt::print(
        "{} seeds, {} failed: {} requests ran, {} undecided; in calm at least {:.4f} of what "
        "is due passes; largest excess {:.2f} of the tolerance\n",
        seeds, totals.failed, totals.admitted, totals.undecided, totals.least_admitted_part,
        totals.largest_excess);
    return totals.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

void print_datagrams()
{
    for (bool const hot : {false, true}) {
        for (std::size_t const entries : {60, 300})
            fmt::print("{} entries{}: {:.1f} datagrams an entry and second\n", entries,
                       hot ? ", largest team at 7 times its use" : "",
                       quota_datagrams_per_entry(entries, 1, hot));
    }
}

/// Measures the processor time of a request at an entry, with that of the entry that owns all
/// shares, without the network.
void print_cost()
{
    constexpr std::size_t teams = 20'000;
    constexpr std::uint64_t requests = 2'000'000;
    constexpr std::uint64_t requests_per_batch = 20;
    std::vector<team_settings> settings;
    for (std::size_t i = 0; i < teams; ++i)
        settings.push_back(make_limited_team(fmt::format("team-{}", i), 100, 100));
    time_point now{std::chrono::seconds(100)};
    std::vector<quota_entry> const entries{
        {.instance = instance_name("owner"), .distance = quota_distance::itself, .is_alive = true}};
    team_quotas owner(instance_name("owner"), quota_question_number(1), now);
    team_quotas borrower(instance_name("borrower"), quota_question_number(1), now);
    for (team_quotas* const each : {&owner, &borrower}) {
        each->update_teams(settings, now);
        auto seen = entries;
        seen[0].distance = each == &owner ? quota_distance::itself : quota_distance::same_place;
        each->update_entries(seen, now);
    }
    random_source random(1);
    auto const began = std::chrono::steady_clock::now();
    for (std::uint64_t id = 1; id <= requests; ++id) {
        borrower.ask(request_id(id), settings[random.below(teams)], now);
        if (id % requests_per_batch != 0)
            continue;
        now += std::chrono::milliseconds(2);
        for (quota_question_batch const& each : borrower.take_questions(now))
            borrower.handle_grants(each.number, owner.answer(each.questions, now), now);
        borrower.take_verdicts();
        borrower.tick(now);
        owner.tick(now);
    }
    std::chrono::duration<double, std::micro> const took = std::chrono::steady_clock::now() - began;
    fmt::print("{} teams: {:.2f} us a request, both entries together, without the network\n", teams,
               took.count() / static_cast<double>(requests));
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t first = 1;
    std::uint64_t seeds = 100;
    unsigned threads = std::max(std::thread::hardware_concurrency(), 1U);
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this help and exit");
    add("first", options::value(&first), "first seed");
    add("seeds", options::value(&seeds), "number of seeds");
    add("threads", options::value(&threads), "number of threads");
    add("datagrams", "print the datagrams of an entry with 60 and 300 entries instead");
    add("cost", "print the processor time of a request with 20,000 teams instead");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
    }
    catch (options::error const& error) {
        std::cerr << error.what() << "; see --help\n";
        return EXIT_FAILURE;
    }
    if (arguments.contains("help")) {
        std::cout << description;
        return EXIT_SUCCESS;
    }
    if (arguments.contains("datagrams")) {
        print_datagrams();
        return EXIT_SUCCESS;
    }
    if (arguments.contains("cost")) {
        print_cost();
        return EXIT_SUCCESS;
    }
    return run(first, seeds, threads);
}
