/// Entry point of burdockstepd, the daemon that runs on every entry instance.
#include "services/burdockstepd/supervisor.hpp"

#include "libraries/configuration/daemon_settings.hpp"
#include "libraries/core/allocator.hpp"
#include "libraries/core/file.hpp"
#include "libraries/core/log.hpp"

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace burdockstep;
namespace options = boost::program_options;

constexpr int exit_startup_failure = 2;

options::options_description describe_options()
{
    options::options_description description("Options");
    description.add_options()("help", "print this help and exit")("version",
                                                                  "print the version and exit")(
        "settings", options::value<std::string>(),
        "settings file (TOML), required")("check", "check the settings and exit")(
        "addresses-file", options::value<std::string>()->default_value(""),
        "write the bound addresses to this file, one per line: callers, operators, peers")(
        "verbose", "also log debug messages");
    return description;
}

std::optional<daemon_settings> read_and_check_settings(std::string const& path)
{
    return handle_failure(
        [&]() -> result<std::optional<daemon_settings>> {
            BOOST_LEAF_AUTO(text, read_file(path));
            daemon_settings_parse_result settings_parse_result = read_daemon_settings(path, text);
            if (!settings_parse_result.settings)
                std::cerr << findings_text(settings_parse_result.findings);
            return std::move(settings_parse_result.settings);
        },
        [](failure const& error) {
            std::cerr << error.message << "\n";
            return std::optional<daemon_settings>{};
        });
}

int run_daemon(daemon_settings settings, std::string const& addresses_file)
{
    return_freed_blocks();
    event_loop loop;
    system_clock_source const clock;
    random_source random(system_seed());
    supervisor root_supervisor(loop, clock, random, settings);
    bool const started = handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(root_supervisor.try_start(addresses_file));
            return true;
        },
        [](failure const& error) {
            std::cerr << "burdockstepd: " << error.message << "\n";
            return false;
        });
    if (!started)
        return exit_startup_failure;
    return static_cast<int>(root_supervisor.run());
}

int run(int argc, char** argv)
{
    options::options_description const description = describe_options();
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    if (arguments.contains("help")) {
        std::cout << "burdockstepd --settings FILE\n\n" << description;
        return EXIT_SUCCESS;
    }
    if (arguments.contains("version")) {
        std::cout << "burdockstepd " BURDOCKSTEP_VERSION "\n";
        return EXIT_SUCCESS;
    }
    if (!arguments.contains("settings")) {
        std::cerr << "burdockstepd: --settings is missing; name the settings file\n";
        return exit_startup_failure;
    }
    if (arguments.contains("verbose"))
        logger::set_threshold(log_level::debug);
    auto settings = read_and_check_settings(arguments["settings"].as<std::string>());
    if (!settings)
        return exit_startup_failure;
    if (arguments.contains("check")) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run_daemon(std::move(*settings), arguments["addresses-file"].as<std::string>());
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int exit_code = exit_startup_failure;
    try {
        exit_code = run(argc, argv);
    }
    catch (options::error const& error) {
        std::cerr << "burdockstepd: " << error.what() << "; see --help\n";
    }
    // Skips the destructors of static objects: connections that are still open may refer to static
    // tables of the HTTP libraries.
    std::quick_exit(exit_code);
}
