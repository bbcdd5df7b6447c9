/// Runs the simulated deployment with many seeds and prints the violations found.
///
/// To repeat a single seed, run `burdockstep-simulation --first SEED --seeds 1`.
#include "tests/simulation/simulation.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace burdockstep;
using namespace burdockstep::testing;
namespace options = boost::program_options;

/// Totals and failures over all seeds. Worker threads add their results under the mutex.
struct seed_summary
{
    std::mutex mutex;
    simulation::totals totals;
    std::uint64_t failed_seeds = 0;

    void add(std::uint64_t seed, simulation const& run, violations const& seed_violations)
    {
        std::lock_guard const lock(mutex);
        simulation::totals const& run_totals = run.run_totals();
        totals.requests += run_totals.requests;
        totals.answered += run_totals.answered;
        totals.not_run += run_totals.not_run;
        totals.unknown += run_totals.unknown;
        totals.crashes += run_totals.crashes;
        totals.pauses += run_totals.pauses;
        totals.late_duplicates += run_totals.late_duplicates;
        totals.upstreams_left += run_totals.upstreams_left;
        totals.applies_accepted += run_totals.applies_accepted;
        totals.applies_refused += run_totals.applies_refused;
        totals.applies_unknown += run_totals.applies_unknown;
        if (seed_violations.empty())
            return;
        constexpr std::uint64_t max_printed_seeds = 20;
        if (++failed_seeds > max_printed_seeds)
            return;
        for (std::string const& each : seed_violations)
            fmt::print("seed {}: {}\n", seed, each);
    }
};

int run(std::uint64_t first_seed, std::uint64_t seed_count, std::string const& traced_id)
{
    seed_summary summary;
    std::atomic<std::uint64_t> next_seed = first_seed;
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < std::max(std::thread::hardware_concurrency(), 1U); ++i) {
        workers.emplace_back([&] {
            for (std::uint64_t seed = next_seed++; seed < first_seed + seed_count;
                 seed = next_seed++) {
                simulation simulation_run({.seed = seed, .traced_id = traced_id});
                violations const seed_violations = simulation_run.run();
                summary.add(seed, simulation_run, seed_violations);
            }
        });
    }
    for (std::thread& each : workers)
        each.join();
    simulation::totals const& sum = summary.totals;
    fmt::print(
        "{} seeds from {}: {} requests, {} answered, {} not run, {} unknown; {} crashes, "
        "{} pauses, {} late duplicates, {} upstreams left; applies: {} accepted, {} refused, "
        "{} unknown; {} seeds failed\n",
        seed_count, first_seed, sum.requests, sum.answered, sum.not_run, sum.unknown, sum.crashes,
        sum.pauses, sum.late_duplicates, sum.upstreams_left, sum.applies_accepted,
        sum.applies_refused, sum.applies_unknown, summary.failed_seeds);
    return summary.failed_seeds == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("Options");
    description.add_options()("help", "print this help and exit")(
        "first", options::value<std::uint64_t>()->default_value(1), "first seed to run")(
        "seeds", options::value<std::uint64_t>()->default_value(100), "number of seeds to run")(
        "trace", options::value<std::string>()->default_value(""),
        "print each step of the request with this identifier, such as r12, or "
        "of the requests that carry this caller's ticket");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description;
        return EXIT_SUCCESS;
    }
    return run(values["first"].as<std::uint64_t>(), values["seeds"].as<std::uint64_t>(),
               values["trace"].as<std::string>());
}
