/// The gateway daemon: accepts callers' HTTP requests and forwards each to an upstream of its
/// route.
#include "platform/platform_dialect.hpp"
#include "platform/platform_store.hpp"
#include "services/burdockstep_gateway/supervisor.hpp"

#include "libraries/core/allocator.hpp"
#include "libraries/core/file.hpp"
#include "libraries/core/log.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace burdockstep;
namespace options = boost::program_options;

/// Environment variable with the path of the settings file, used if `--settings` is not given.
constexpr char const* settings_environment_variable = "BURDOCKSTEP_BOOT";
constexpr int exit_usage = 2;
/// A table of the store may take this part of the process's memory.
constexpr std::size_t table_memory_divisor = 8;

std::optional<gateway_settings> load_settings(std::string const& path)
{
    return handle_failure(
        [&]() -> result<std::optional<gateway_settings>> {
            BOOST_LEAF_AUTO(text, read_file(path));
            gateway_settings_parse_result parse_result = read_gateway_settings(path, text);
            if (!parse_result.settings)
                std::cerr << findings_text(parse_result.findings);
            return std::move(parse_result.settings);
        },
        [](failure const& error) {
            std::cerr << error.message << "\n";
            return std::optional<gateway_settings>{};
        });
}

int run_gateway(gateway_settings settings, std::string const& path)
{
    logger::set_buffered(true);
    return_freed_blocks();
    event_loop loop;
    system_clock_source const clock;
    random_source random(system_seed());
    platform::platform_store store(
        loop, clock,
        {.at = settings.store, .max_table_bytes = settings.memory_bytes / table_memory_divisor});
    platform::platform_dialect const dialect;
    gateway::supervisor root_supervisor(loop, clock, random, settings, path);
    bool const started = handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(root_supervisor.try_start(store, dialect));
            return true;
        },
        [](failure const& error) {
            std::cerr << "burdockstep-gateway: " << error.message << "\n";
            return false;
        });
    int const exit_code = started ? static_cast<int>(root_supervisor.run()) : exit_usage;
    logger::flush();
    // Connections and timers may hold references to each other, so no orderly destruction is
    // attempted: the operating system releases them.
    std::quick_exit(exit_code);
}

int run(int argc, char** argv)
{
    options::options_description description("Options");
    description.add_options()("help", "print this help and exit")("version",
                                                                  "print the version and exit")(
        "settings", options::value<std::string>(),
        "path of the settings file (TOML); default: the environment variable BURDOCKSTEP_BOOT")(
        "check", "validate the settings file and exit")("verbose", "also log debug messages");
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    if (arguments.contains("help")) {
        std::cout << "burdockstep-gateway [--settings FILE]\n\n" << description;
        return EXIT_SUCCESS;
    }
    if (arguments.contains("version")) {
        std::cout << "burdockstep-gateway " BURDOCKSTEP_VERSION "\n";
        return EXIT_SUCCESS;
    }
    char const* const environment_path = std::getenv(settings_environment_variable);
    std::string const path = arguments.contains("settings")
                                 ? arguments["settings"].as<std::string>()
                             : environment_path != nullptr ? std::string(environment_path)
                                                           : std::string();
    if (path.empty()) {
        std::cerr
            << "burdockstep-gateway: no settings file given; use --settings or BURDOCKSTEP_BOOT\n";
        return exit_usage;
    }
    if (arguments.contains("verbose"))
        logger::set_threshold(log_level::debug);
    auto settings = load_settings(path);
    if (!settings)
        return exit_usage;
    if (arguments.contains("check")) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run_gateway(std::move(*settings), path);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (options::error const& error) {
        std::cerr << "burdockstep-gateway: " << error.what() << "; see --help\n";
    }
    return exit_usage;
}
