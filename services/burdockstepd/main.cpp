/// The daemon of every entry instance.
#include "services/burdockstepd/supervisor.hpp"

#include "libraries/configuration/daemon_settings.hpp"
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

constexpr int exit_usage = 2;

options::options_description describe_options()
{
    options::options_description description("Options");
    description.add_options()("help", "print this help and exit")("version",
                                                                  "print the version and exit")(
        "settings", options::value<std::string>(),
        "settings file (TOML), required")("check", "check the settings and exit")(
        "addresses-file", options::value<std::string>()->default_value(""),
        "write the bound addresses to this file: callers, operators, peers, a line each")(
        "verbose", "log debug lines too");
    return description;
}

std::optional<daemon_settings> load_settings(std::string const& path)
{
    return handle_failure(
        [&]() -> result<std::optional<daemon_settings>> {
            BOOST_LEAF_AUTO(text, read_file(path));
            daemon_settings_parse_result reading = read_daemon_settings(path, text);
            if (!reading.settings)
                std::cerr << findings_text(reading.findings);
            return std::move(reading.settings);
        },
        [](failure const& error) {
            std::cerr << error.message << "\n";
            return std::optional<daemon_settings>{};
        });
}

int run_daemon(daemon_settings settings, std::string const& addresses_file)
{
    event_loop loop;
    system_clock_source const clock;
    random_source random(system_seed());
    supervisor root(loop, clock, random, settings);
    bool const started = handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(root.try_start(addresses_file));
            return true;
        },
        [](failure const& error) {
            std::cerr << "burdockstepd: " << error.message << "\n";
            return false;
        });
    if (!started)
        return exit_usage;
    return static_cast<int>(root.run());
}

int run(int argc, char** argv)
{
    options::options_description const description = describe_options();
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << "burdockstepd --settings FILE\n\n" << description;
        return EXIT_SUCCESS;
    }
    if (values.contains("version")) {
        std::cout << "burdockstepd " BURDOCKSTEP_VERSION "\n";
        return EXIT_SUCCESS;
    }
    if (!values.contains("settings")) {
        std::cerr << "burdockstepd: --settings is missing; name the settings file\n";
        return exit_usage;
    }
    if (values.contains("verbose"))
        logger::set_threshold(log_level::debug);
    auto settings = load_settings(values["settings"].as<std::string>());
    if (!settings)
        return exit_usage;
    if (values.contains("check")) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run_daemon(std::move(*settings), values["addresses-file"].as<std::string>());
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int code = exit_usage;
    try {
        code = run(argc, argv);
    }
    catch (options::error const& error) {
        std::cerr << "burdockstepd: " << error.what() << "; see --help\n";
    }
    // Static tables of the HTTP libraries are left to the system: connections may refer to them.
    std::quick_exit(code);
}
