/// Command-line tool for operators and callers.
#include "utilities/burdockstep/commands.hpp"

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace {

using namespace burdockstep;
namespace options = boost::program_options;

constexpr char const* usage_text = R"(burdockstep COMMAND [FILE or SERVICE] [options]

Commands
  check FILE       check a deployment document without contacting a daemon
  diff FILE        show what a document would change
  apply FILE       put a document in force (needs --reason and --who)
  show             print the document in force
  status           print instances, versions, pools and drains
  audit            print who applied what, when and why
  lookup SERVICE   print the entries that callers should use
  call SERVICE     send one request

Exit codes: 0 done, 2 usage error, 3 refused (nothing has changed),
4 unreachable (nothing was done), 5 unknown (it may have been done)

)";

options::options_description describe_options()
{
    options::options_description description("Options");
    char const* const user_name = std::getenv("USER");
    description.add_options()("help", "print this help and exit")("version",
                                                                  "print the version and exit")(
        "daemon", options::value<std::vector<std::string>>()->default_value({}, ""),
        "address of a daemon, may be repeated: operators' address for diff, apply, show, "
        "status and audit, callers' address for lookup and call")(
        "json", "print the result as JSON")("reason",
                                            options::value<std::string>()->default_value(""),
                                            "reason of an apply, for the audit trail")(
        "who", options::value<std::string>()->default_value(user_name == nullptr ? "" : user_name),
        "author of an apply, for the audit trail; default: $USER")(
        "base", options::value<std::string>(),
        "version that an apply replaces; refused if another one is in force; default: the version "
        "in force")("no-wait",
                    "return from an apply without waiting until it is in force on all instances")(
        "limit", options::value<unsigned>()->default_value(20), "maximum number of audit records")(
        "before", options::value<std::string>()->default_value(""),
        "print only audit records older than this key")(
        "region", options::value<std::string>()->default_value(""),
        "the caller's region")("path", options::value<std::string>()->default_value("/"),
                               "path of the request that call sends")(
        "body", options::value<std::string>()->default_value(""),
        "body of the request that call sends; without one, it is a GET")(
        "ticket", options::value<std::string>()->default_value(""),
        "ticket of the request that call sends");
    return description;
}

/// A command and the arguments that it requires.
struct command
{
    char const* name;
    tool_exit_code (*run)(command_arguments const&);
    bool needs_daemon;
    bool takes_file;
    bool takes_service;
};

constexpr command commands[] = {
    {"check", run_check, false, true, false},   {"diff", run_diff, true, true, false},
    {"apply", run_apply, true, true, false},    {"show", run_show, true, false, false},
    {"status", run_status, true, false, false}, {"audit", run_audit, true, false, false},
    {"lookup", run_lookup, true, false, true},  {"call", run_call, true, false, true}};

tool_exit_code report_usage_error(std::string const& message)
{
    std::cerr << "burdockstep: " << message << "; see --help\n";
    return tool_exit_code::usage;
}

bool parse_daemon_addresses(std::vector<std::string> const& address_texts,
                            command_arguments& arguments)
{
    bool valid = true;
    for (std::string const& each : address_texts) {
        arguments.daemon_addresses.push_back(handle_failure([&] { return parse_address(each); },
                                                            [&](failure const& error) {
                                                                std::cerr << error.message << "\n";
                                                                valid = false;
                                                                return address{};
                                                            }));
    }
    return valid;
}

tool_exit_code run_command(command const& selected_command,
                           options::variables_map const& option_values)
{
    command_arguments arguments;
    if (!parse_daemon_addresses(option_values["daemon"].as<std::vector<std::string>>(), arguments))
        return tool_exit_code::usage;
    if (selected_command.needs_daemon && arguments.daemon_addresses.empty())
        return report_usage_error("--daemon is missing; give the address of at least one daemon");
    std::string const operand = option_values.contains("operand")
                                    ? option_values["operand"].as<std::string>()
                                    : std::string{};
    if ((selected_command.takes_file || selected_command.takes_service) && operand.empty())
        return report_usage_error(selected_command.takes_file ? "FILE is missing"
                                                              : "SERVICE is missing");
    arguments.document_path = selected_command.takes_file ? operand : std::string{};
    arguments.service = selected_command.takes_service ? operand : std::string{};
    arguments.author = option_values["who"].as<std::string>();
    arguments.change_reason = option_values["reason"].as<std::string>();
    if (selected_command.run == run_apply &&
        (arguments.author.empty() || arguments.change_reason.empty()))
        return report_usage_error("--reason or --who is missing; the audit trail needs both");
    if (option_values.contains("base"))
        arguments.base_version = option_values["base"].as<std::string>();
    arguments.json_output = option_values.contains("json");
    arguments.wait_until_in_force_everywhere = !option_values.contains("no-wait");
    arguments.audit_limit = option_values["limit"].as<unsigned>();
    arguments.audit_before_key = option_values["before"].as<std::string>();
    arguments.region = option_values["region"].as<std::string>();
    arguments.path = option_values["path"].as<std::string>();
    arguments.body = option_values["body"].as<std::string>();
    arguments.ticket = option_values["ticket"].as<std::string>();
    return selected_command.run(arguments);
}

tool_exit_code run(int argc, char** argv)
{
    options::options_description const description = describe_options();
    options::options_description all_options;
    all_options.add(description);
    all_options.add_options()("command", options::value<std::string>())(
        "operand", options::value<std::string>());
    options::positional_options_description positional_arguments;
    positional_arguments.add("command", 1).add("operand", 1);
    options::variables_map option_values;
    options::store(options::command_line_parser(argc, argv)
                       .options(all_options)
                       .positional(positional_arguments)
                       .run(),
                   option_values);
    if (option_values.contains("help")) {
        std::cout << usage_text << description;
        return tool_exit_code::success;
    }
    if (option_values.contains("version")) {
        std::cout << "burdockstep " BURDOCKSTEP_VERSION "\n";
        return tool_exit_code::success;
    }
    if (!option_values.contains("command"))
        return report_usage_error("a command is missing");
    std::string const name = option_values["command"].as<std::string>();
    for (command const& each : commands) {
        if (name == each.name)
            return run_command(each, option_values);
    }
    return report_usage_error("'" + name + "' is not a command");
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    tool_exit_code code = tool_exit_code::usage;
    try {
        code = run(argc, argv);
    }
    catch (options::error const& error) {
        code = report_usage_error(error.what());
    }
    std::cout.flush();
    std::fflush(stdout);
    return static_cast<int>(code);
}
