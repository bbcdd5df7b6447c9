/// Stand-ins for the platform, the upstreams and the users' site, for tests and the example run.
#include "platform/standin/site_standin.hpp"
#include "utilities/burdockstep_standin/platform_standin.hpp"
#include "utilities/burdockstep_standin/upstreams_standin.hpp"

#include "libraries/configuration/deployment_reader.hpp"
#include "libraries/configuration/deployment_writer.hpp"
#include "libraries/core/file.hpp"
#include "libraries/core/log.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace burdockstep;
namespace options = boost::program_options;

constexpr int exit_usage = 2;

options::options_description describe_options()
{
    options::options_description description("Options");
    description.add_options()("help", "print this help and exit")("version",
                                                                  "print the version and exit")(
        "role", options::value<std::string>(),
        "what to stand in for: platform, upstreams or site; required")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address to listen on; for upstreams, the address of their control interface")(
        "deployment", options::value<std::string>(),
        "deployment document that lists the upstreams; required for upstreams")(
        "resolved", options::value<std::string>()->default_value(""),
        "write the document with the ports that the upstreams listen on to this file")(
        "entry", options::value<std::vector<std::string>>()->default_value({}, ""),
        "IP=PLACE of an entry instance, for the simulated network delays; may be repeated")(
        "address-file", options::value<std::string>()->default_value(""),
        "write the listening address to this file")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the random service times")("speed", options::value<double>()->default_value(1.0),
                                            "factor that divides all service times");
    return description;
}

int report_error(std::string const& message)
{
    std::cerr << "burdockstep-standin: " << message << "\n";
    return exit_usage;
}

/// Writes the file unless the path is empty. Prints an error and returns false on failure.
bool write_or_report_error(std::string const& path, std::string const& text)
{
    if (path.empty())
        return true;
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(write_file(path, text));
            return true;
        },
        [](failure const& error) {
            report_error(error.message);
            return false;
        });
}

int run_until_terminated(event_loop& loop, address const& bound_address,
                         std::string const& address_file)
{
    if (!write_or_report_error(address_file, bound_address.text() + "\n"))
        return exit_usage;
    logger("standin").info("listening", {field("address", bound_address.text())});
    uv_signal_t sigterm_handle{};
    uv_signal_init(loop.raw(), &sigterm_handle);
    sigterm_handle.data = &loop;
    uv_signal_start(
        &sigterm_handle,
        [](uv_signal_t* signal_handle, int) {
            static_cast<event_loop*>(signal_handle->data)->stop();
        },
        SIGTERM);
    loop.run();
    return EXIT_SUCCESS;
}

/// Starts to listen, calls `before_serving`, and runs until SIGTERM. Returns the exit code.
template <class Standin>
int listen_and_serve(event_loop& loop, Standin& standin,
                     options::variables_map const& option_values,
                     std::function<bool()> const& before_serving)
{
    auto const bound_address = handle_failure(
        [&]() -> result<std::optional<address>> {
            BOOST_LEAF_AUTO(requested_address,
                            parse_address(option_values["listen"].as<std::string>()));
            BOOST_LEAF_AUTO(listening_address, standin.try_listen(requested_address));
            return std::optional<address>(listening_address);
        },
        [](failure const& error) {
            report_error(error.message);
            return std::optional<address>{};
        });
    if (!bound_address || !before_serving())
        return exit_usage;
    return run_until_terminated(loop, *bound_address,
                                option_values["address-file"].as<std::string>());
}

std::optional<entry_places> parse_entry_places(std::vector<std::string> const& entry_texts)
{
    entry_places places;
    for (std::string const& each : entry_texts) {
        auto const equals_position = each.find('=');
        auto const parsed =
            handle_failure([&] { return parse_address(each.substr(0, equals_position) + ":0"); },
                           [](failure const&) { return address{}; });
        if (equals_position == std::string::npos || parsed.ip == 0) {
            report_error("--entry '" + each +
                         "' is not IP=PLACE; use for example 127.0.0.11=brest");
            return std::nullopt;
        }
        places[parsed.ip] = place_name(each.substr(equals_position + 1));
    }
    return places;
}

int run_upstreams(event_loop& loop, options::variables_map const& option_values)
{
    if (!option_values.contains("deployment"))
        return report_error("--deployment is missing; give the path of the deployment document");
    std::string const path = option_values["deployment"].as<std::string>();
    deployment_parse_result parse_result = handle_failure(
        [&]() -> result<deployment_parse_result> {
            BOOST_LEAF_AUTO(text, read_file(path));
            return read_deployment(path, text);
        },
        [](failure const& error) {
            report_error(error.message);
            return deployment_parse_result{};
        });
    if (!parse_result.document)
        return report_error("the deployment document could not be loaded\n" +
                            findings_text(parse_result.findings));
    auto entries = parse_entry_places(option_values["entry"].as<std::vector<std::string>>());
    if (!entries)
        return exit_usage;
    auto* const standin = new upstreams_standin(
        loop, std::move(*parse_result.document), std::move(*entries),
        option_values["seed"].as<std::uint64_t>(), option_values["speed"].as<double>());
    return listen_and_serve(loop, *standin, option_values, [&] {
        return write_or_report_error(option_values["resolved"].as<std::string>(),
                                     write_deployment(standin->document()));
    });
}

int run(int argc, char** argv)
{
    options::options_description const description = describe_options();
    options::variables_map option_values;
    options::store(options::parse_command_line(argc, argv, description), option_values);
    if (option_values.contains("help")) {
        std::cout << "burdockstep-standin --role platform|upstreams|site\n\n" << description;
        return EXIT_SUCCESS;
    }
    if (option_values.contains("version")) {
        std::cout << "burdockstep-standin " BURDOCKSTEP_VERSION "\n";
        return EXIT_SUCCESS;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::string const role =
        option_values.contains("role") ? option_values["role"].as<std::string>() : "";
    auto* const loop = new event_loop;
    if (role == "platform")
        return listen_and_serve(*loop, *new platform_standin(*loop), option_values,
                                [] { return true; });
    if (role == "upstreams")
        return run_upstreams(*loop, option_values);
    static system_clock_source const clock;
    if (role == "site")
        return listen_and_serve(*loop, *new site_standin(*loop, clock), option_values,
                                [] { return true; });
    return report_error("--role must be platform, upstreams or site");
}

} // namespace

int main(int argc, char** argv)
{
    int code = exit_usage;
    try {
        code = run(argc, argv);
    }
    catch (options::error const& error) {
        std::cerr << "burdockstep-standin: " << error.what() << "; see --help\n";
    }
    std::quick_exit(code);
}
