/// Runs entries that share the quotas of teams with many seeds and prints the violations found.
///
/// To repeat a single seed, run `burdockstep-quota-simulation --first SEED --seeds 1`.
#include "tests/quota_simulation/quota_scenario.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
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
    return run(first, seeds, threads);
}
