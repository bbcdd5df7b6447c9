/// Load generator: open-loop arrivals, cached look-ups, and a check of every answer's body.
#include "utilities/burdockstep_load/load_run.hpp"

#include <boost/program_options.hpp>
#include <curl/curl.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace burdockstep;
namespace options = boost::program_options;

constexpr int exit_usage = 2;
constexpr int exit_wrong_answer = 3;
constexpr int exit_no_lookup = 4;

options::options_description describe_options()
{
    options::options_description description("Options");
    description.add_options()("help", "print this help and exit")("version",
                                                                  "print the version and exit")(
        "instance", options::value<std::vector<std::string>>()->default_value({}, ""),
        "callers' address of an instance that answers look-ups; required, may be repeated")(
        "mix", options::value<std::vector<std::string>>()->default_value({}, ""),
        "SERVICE=SHARE, the relative share of a service; required, may be repeated")(
        "region", options::value<std::vector<std::string>>()->default_value({}, ""),
        "region of the callers; may be repeated, each request takes one at random")(
        "rate", options::value<double>()->default_value(200), "mean number of requests per second")(
        "calls", options::value<std::uint64_t>()->default_value(2000),
        "total number of requests")("tries", options::value<unsigned>()->default_value(3),
                                    "maximum number of retries of each request")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the arrival times, services and regions")(
        "csv", "print the results as comma-separated values");
    return description;
}

std::optional<load_options> parse_load_options(options::variables_map const& option_values)
{
    load_options run_options;
    bool valid = true;
    for (std::string const& each : option_values["instance"].as<std::vector<std::string>>()) {
        run_options.instances.push_back(handle_failure([&] { return parse_address(each); },
                                                       [&](failure const& error) {
                                                           std::cerr << error.message << "\n";
                                                           valid = false;
                                                           return address{};
                                                       }));
    }
    for (std::string const& each : option_values["mix"].as<std::vector<std::string>>()) {
        auto const equals_position = each.find('=');
        double const share = equals_position == std::string::npos
                                 ? 0
                                 : std::strtod(each.c_str() + equals_position + 1, nullptr);
        if (share <= 0) {
            std::cerr << "--mix '" << each
                      << "' is not SERVICE=SHARE with a share above 0; use for example levels=60\n";
            valid = false;
            continue;
        }
        run_options.service_mix.push_back(
            {.service = service_name(each.substr(0, equals_position)), .share = share});
    }
    for (std::string const& each : option_values["region"].as<std::vector<std::string>>())
        run_options.caller_regions.emplace_back(each);
    run_options.requests_per_second = option_values["rate"].as<double>();
    run_options.call_count = option_values["calls"].as<std::uint64_t>();
    run_options.seed = option_values["seed"].as<std::uint64_t>();
    run_options.max_retries = option_values["tries"].as<unsigned>();
    if (run_options.instances.empty() || run_options.service_mix.empty() ||
        run_options.requests_per_second <= 0 || run_options.call_count == 0) {
        std::cerr << "burdockstep-load: --instance and --mix are required; --rate and --calls must "
                     "be above 0\n";
        valid = false;
    }
    if (!valid)
        return std::nullopt;
    return run_options;
}

double milliseconds(duration span)
{
    return static_cast<double>(span.count()) / 1000.0;
}

void print_results(load_run const& run, bool csv)
{
    char const* const format =
        csv ? "{},{},{},{},{},{},{},{:.1f},{:.1f},{:.1f},{:.1f},{}\n"
            : "{:<12}{:>8}{:>10}{:>9}{:>9}{:>7}{:>11}{:>10.1f}{:>10.1f}{:>10.1f}{:>10.1f}{:>8}\n";
    char const* const heading_format =
        csv ? "{},{},{},{},{},{},{},{},{},{},{},{}\n"
            : "{:<12}{:>8}{:>10}{:>9}{:>9}{:>7}{:>11}{:>10}{:>10}{:>10}{:>10}{:>8}\n";
    fmt::print(fmt::runtime(heading_format), "service", "calls", "answered", "not-run", "unknown",
               "wrong", "no-lookup", "p50-ms", "p99-ms", "p99.9-ms", "max-ms", "sends");
    for (auto const& [service, each] : run.results()) {
        std::uint64_t call_count = 0;
        for (std::uint64_t const count : each.outcome_counts)
            call_count += count;
        fmt::print(
            fmt::runtime(format), service.get(), call_count, each.count(caller_outcome::answered),
            each.count(caller_outcome::not_run), each.count(caller_outcome::unknown),
            each.count(caller_outcome::wrong_answer), each.count(caller_outcome::no_lookup),
            milliseconds(each.latency.percentile(0.5)), milliseconds(each.latency.percentile(0.99)),
            milliseconds(each.latency.percentile(0.999)), milliseconds(each.latency.longest()),
            each.sends);
    }
}

int run(int argc, char** argv)
{
    options::options_description const description = describe_options();
    options::variables_map option_values;
    options::store(options::parse_command_line(argc, argv, description), option_values);
    if (option_values.contains("help")) {
        std::cout
            << "burdockstep-load --instance IP:PORT --mix SERVICE=SHARE\n\n"
            << description
            << "\nExit codes: 0 done, 2 usage error, 3 at least one wrong answer, 4 no look-up "
               "was answered\n";
        return EXIT_SUCCESS;
    }
    if (option_values.contains("version")) {
        std::cout << "burdockstep-load " BURDOCKSTEP_VERSION "\n";
        return EXIT_SUCCESS;
    }
    auto run_options = parse_load_options(option_values);
    if (!run_options)
        return exit_usage;
    auto* const loop = new event_loop;
    system_clock_source const clock;
    auto* const load = new load_run(*loop, clock, std::move(*run_options));
    load->start([loop] { loop->stop(); });
    loop->run();
    print_results(*load, option_values.contains("csv"));
    std::uint64_t wrong_answers = 0;
    std::uint64_t calls_with_lookup = 0;
    for (auto const& [service, each] : load->results()) {
        wrong_answers += each.count(caller_outcome::wrong_answer);
        for (std::uint64_t const count : each.outcome_counts)
            calls_with_lookup += count;
        calls_with_lookup -= each.count(caller_outcome::no_lookup);
    }
    if (wrong_answers > 0)
        return exit_wrong_answer;
    return calls_with_lookup == 0 ? exit_no_lookup : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int code = exit_usage;
    try {
        code = run(argc, argv);
    }
    catch (options::error const& error) {
        std::cerr << "burdockstep-load: " << error.what() << "; see --help\n";
    }
    std::fflush(stdout);
    std::quick_exit(code);
}
