#include "utilities/burdockstep/commands.hpp"

#include "utilities/burdockstep/daemon_client.hpp"

#include "libraries/configuration/deployment_reader.hpp"
#include "libraries/configuration_sync/configuration_publisher.hpp"
#include "libraries/core/file.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace burdockstep {

namespace json = boost::json;

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_refused = 409;

/// Returns the file's text, or prints the error and returns nothing.
std::optional<std::string> read_file_or_print_error(std::string const& path)
{
    return handle_failure(
        [&]() -> result<std::optional<std::string>> {
            BOOST_LEAF_AUTO(text, read_file(path));
            return std::optional(std::move(text));
        },
        [](failure const& error) {
            std::cerr << error.message << "\n";
            return std::optional<std::string>{};
        });
}

std::optional<deployment> parse_or_print_findings(std::string const& path, std::string const& text)
{
    deployment_parse_result reading = read_deployment(path, text);
    if (!reading.document)
        std::cerr << findings_text(reading.findings);
    return std::move(reading.document);
}

tool_exit_code print_unreachable(command_arguments const& arguments)
{
    std::cerr << "no daemon answered at";
    for (address const& each : arguments.daemon_addresses)
        std::cerr << " " << each.text();
    std::cerr << "; check the addresses given with --daemon, and whether the daemons are running\n";
    return tool_exit_code::unreachable;
}

std::string percent_encode(std::string const& text)
{
    std::string encoded;
    for (unsigned char const c : text) {
        bool const is_unreserved =
            std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '/';
        encoded += is_unreserved ? std::string(1, static_cast<char>(c)) : fmt::format("%{:02X}", c);
    }
    return encoded;
}

std::optional<json::value> parse_json_text(std::string const& text)
{
    json::error_code parse_error;
    json::value value = json::parse(text, parse_error);
    return parse_error ? std::nullopt : std::optional(std::move(value));
}

std::string member_as_text(json::value const& value, char const* key)
{
    json::value const* const found =
        value.is_object() ? value.get_object().if_contains(key) : nullptr;
    if (found == nullptr)
        return {};
    if (found->is_string())
        return std::string(found->get_string());
    return json::serialize(*found);
}

/// A daemon's answer, parsed as JSON. `body` is valid only if `exit_code` is `success`.
struct json_answer
{
    tool_exit_code exit_code = tool_exit_code::success;
    int status = 0;
    json::value body;
};

json_answer get_json(daemon_client& client, command_arguments const& arguments,
                     std::string const& path)
{
    call_options options;
    options.path = path;
    auto const answer = client.send(options, true);
    if (!answer)
        return {.exit_code = print_unreachable(arguments)};
    auto body = parse_json_text(answer->body);
    if (!body) {
        std::cerr
            << "the daemon's answer is not valid JSON; check that the tool and the daemon have "
               "the same version\n";
        return {.exit_code = tool_exit_code::unreachable};
    }
    if (answer->head.status != status_ok && answer->head.status != status_not_found) {
        std::cerr << member_as_text(*body, "error") << "\n";
        return {.exit_code = tool_exit_code::unreachable, .status = answer->head.status};
    }
    return {.status = answer->head.status, .body = std::move(*body)};
}

/// The document in force and its version; version 0 and no text before the first `apply`.
struct document_in_force
{
    tool_exit_code exit_code = tool_exit_code::success;
    std::string version = "0";
    std::string text;
};

document_in_force get_document_in_force(daemon_client& client, command_arguments const& arguments)
{
    json_answer const current = get_json(client, arguments, "/v1/show");
    if (current.exit_code != tool_exit_code::success)
        return {.exit_code = current.exit_code};
    if (current.status == status_not_found)
        return {};
    return {.version = member_as_text(current.body, "version"),
            .text = member_as_text(current.body, "document")};
}

void print_progress(std::string const& line, bool is_last)
{
    bool const is_terminal = isatty(STDOUT_FILENO) != 0;
    if (is_terminal)
        std::cout << "\r\033[K" << line << (is_last ? "\n" : "") << std::flush;
    else
        std::cout << line << "\n";
}

/// Waits until all reachable instances have the version in force, or until the timeout, and prints
/// the progress. Lost instances are listed but not waited for: they load the version when they are
/// back. A timeout also gives `success`, because the document has been accepted.
tool_exit_code wait_until_in_force(daemon_client& client, command_arguments const& arguments,
                                   std::uint64_t version)
{
    constexpr auto poll_interval = std::chrono::milliseconds(100);
    auto const wait_end = std::chrono::steady_clock::now() + arguments.in_force_timeout;
    std::string previous_line;
    while (true) {
        json_answer const status = get_json(client, arguments, "/v1/status");
        if (status.exit_code != tool_exit_code::success)
            return status.exit_code;
        std::size_t up_to_date_count = 0;
        std::size_t instance_count = 0;
        std::string outdated_instances;
        std::string lost_instances;
        for (json::value const& each : status.body.at("entries").as_array()) {
            ++instance_count;
            bool const is_up_to_date =
                each.at("configuration").to_number<std::uint64_t>() >= version;
            if (member_as_text(each, "state") == "lost")
                lost_instances += " " + member_as_text(each, "instance");
            else if (is_up_to_date)
                ++up_to_date_count;
            else
                outdated_instances += " " + member_as_text(each, "instance");
        }
        bool const all_up_to_date = outdated_instances.empty();
        bool const timed_out = std::chrono::steady_clock::now() >= wait_end;
        std::string const line = fmt::format(
            "version {} in force on {} of {} instances{}{}{}{}", version, up_to_date_count,
            instance_count, outdated_instances.empty() ? "" : "; not yet in force on",
            outdated_instances, lost_instances.empty() ? "" : "; lost:", lost_instances);
        if (line != previous_line)
            print_progress(line, all_up_to_date || timed_out);
        previous_line = line;
        if (all_up_to_date || timed_out)
            return tool_exit_code::success;
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

tool_exit_code run_check(command_arguments const& arguments)
{
    auto const text = read_file_or_print_error(arguments.document_path);
    if (!text)
        return tool_exit_code::usage;
    auto const document = parse_or_print_findings(arguments.document_path, *text);
    if (!document)
        return tool_exit_code::refused;
    fmt::print("{}: valid; {} services, {} places, {} upstreams, {} drains\n",
               arguments.document_path, document->services.size(), document->places.size(),
               document->upstreams.size(), document->drains.size());
    return tool_exit_code::success;
}

tool_exit_code run_diff(command_arguments const& arguments)
{
    auto const text = read_file_or_print_error(arguments.document_path);
    if (!text)
        return tool_exit_code::usage;
    auto const document = parse_or_print_findings(arguments.document_path, *text);
    if (!document)
        return tool_exit_code::refused;
    daemon_client client(arguments.daemon_addresses);
    document_in_force const current = get_document_in_force(client, arguments);
    if (current.exit_code != tool_exit_code::success)
        return current.exit_code;
    std::optional<deployment> previous_document;
    if (!current.text.empty())
        previous_document = parse_or_print_findings("document in force", current.text);
    std::string const difference =
        describe_difference(previous_document ? &*previous_document : nullptr, *document);
    fmt::print("changes from version {}:\n{}", current.version,
               difference.empty() ? "no difference\n" : difference);
    return tool_exit_code::success;
}

tool_exit_code run_apply(command_arguments const& arguments)
{
    auto const text = read_file_or_print_error(arguments.document_path);
    if (!text)
        return tool_exit_code::usage;
    daemon_client client(arguments.daemon_addresses);
    std::string base_version;
    if (arguments.base_version) {
        base_version = *arguments.base_version;
    }
    else {
        document_in_force const current = get_document_in_force(client, arguments);
        if (current.exit_code != tool_exit_code::success)
            return current.exit_code;
        base_version = current.version;
    }
    call_options options;
    options.method = "POST";
    options.path =
        fmt::format("/v1/apply?who={}&why={}&file={}&base={}", percent_encode(arguments.author),
                    percent_encode(arguments.change_reason),
                    percent_encode(arguments.document_path), percent_encode(base_version));
    options.body = *text;
    options.deadline = std::chrono::seconds(60);
    auto const answer = client.send(options, false);
    if (!answer && client.is_outcome_unknown()) {
        std::cerr << "the connection ended before the daemon answered; run 'burdockstep audit' to "
                     "see whether the document was applied\n";
        return tool_exit_code::unknown;
    }
    if (!answer)
        return print_unreachable(arguments);
    auto const body = parse_json_text(answer->body);
    if (!body || member_as_text(*body, "verdict").empty()) {
        std::cerr << (body ? member_as_text(*body, "error")
                           : std::string("the daemon's answer is not valid JSON"))
                  << "\n";
        return tool_exit_code::refused;
    }
    std::string const verdict = member_as_text(*body, "verdict");
    if (arguments.json_output)
        std::cout << json::serialize(*body) << "\n";
    if (verdict != "accepted") {
        if (!arguments.json_output)
            std::cerr << verdict << ": " << member_as_text(*body, "detail") << "\n";
        return answer->head.status == status_refused ? tool_exit_code::refused
                                                     : tool_exit_code::unknown;
    }
    std::string const version = member_as_text(*body, "version");
    if (!arguments.json_output)
        fmt::print("accepted as version {}\n", version);
    if (!arguments.wait_until_in_force_everywhere || arguments.json_output)
        return tool_exit_code::success;
    return wait_until_in_force(client, arguments, std::stoull(version));
}

tool_exit_code run_show(command_arguments const& arguments)
{
    daemon_client client(arguments.daemon_addresses);
    json_answer const current = get_json(client, arguments, "/v1/show");
    if (current.exit_code != tool_exit_code::success)
        return current.exit_code;
    if (current.status == status_not_found) {
        std::cerr << member_as_text(current.body, "error") << "\n";
        return tool_exit_code::refused;
    }
    if (arguments.json_output)
        std::cout << json::serialize(current.body) << "\n";
    else
        fmt::print("# version {}\n{}", member_as_text(current.body, "version"),
                   member_as_text(current.body, "document"));
    return tool_exit_code::success;
}

tool_exit_code run_status(command_arguments const& arguments)
{
    daemon_client client(arguments.daemon_addresses);
    json_answer const status = get_json(client, arguments, "/v1/status");
    if (status.exit_code != tool_exit_code::success)
        return status.exit_code;
    if (arguments.json_output) {
        std::cout << json::serialize(status.body) << "\n";
        return tool_exit_code::success;
    }
    fmt::print(
        "status from instance {}; configuration version {}; platform {}\n\n",
        member_as_text(status.body, "instance"), member_as_text(status.body, "configuration"),
        member_as_text(status.body, "platform_reachable") == "true" ? "answers" : "doesn't answer");
    fmt::print("{:<16}{:<14}{:<14}{:<10}{:>8}{:>14}\n", "instance", "place", "region", "state",
               "version", "heard-ms-ago");
    for (json::value const& each : status.body.at("entries").as_array())
        fmt::print("{:<16}{:<14}{:<14}{:<10}{:>8}{:>14}\n", member_as_text(each, "instance"),
                   member_as_text(each, "place"), member_as_text(each, "region"),
                   member_as_text(each, "state"), member_as_text(each, "configuration"),
                   member_as_text(each, "heard_ms_ago"));
    fmt::print("\n{:<16}{:<14}{:>7}{:>11}{:>8}\n", "pool", "region", "slots", "in-flight",
               "queued");
    for (json::value const& each : status.body.at("pools").as_array())
        fmt::print("{:<16}{:<14}{:>7}{:>11}{:>8}\n", member_as_text(each, "service"),
                   member_as_text(each, "region"), member_as_text(each, "slots"),
                   member_as_text(each, "in_flight"), member_as_text(each, "queued"));
    for (json::value const& each : status.body.at("drains").as_array())
        fmt::print("drain of {}: {}\n", member_as_text(each, "name"),
                   member_as_text(each, "reason"));
    for (json::value const& each : status.body.at("leaving_upstreams").as_array())
        fmt::print("upstream {} is leaving; last reported {} ms ago\n",
                   member_as_text(each, "upstream"), member_as_text(each, "last_sign_ms_ago"));
    return tool_exit_code::success;
}

tool_exit_code run_audit(command_arguments const& arguments)
{
    daemon_client client(arguments.daemon_addresses);
    json_answer const audit =
        get_json(client, arguments,
                 fmt::format("/v1/audit?limit={}&before={}", arguments.audit_limit,
                             percent_encode(arguments.audit_before_key)));
    if (audit.exit_code != tool_exit_code::success)
        return audit.exit_code;
    if (arguments.json_output) {
        std::cout << json::serialize(audit.body) << "\n";
        return tool_exit_code::success;
    }
    for (json::value const& each : audit.body.as_array()) {
        bool const accepted = member_as_text(each, "accepted") == "true";
        auto const at = std::chrono::system_clock::time_point(
            std::chrono::milliseconds(each.at("at_ms").to_number<std::int64_t>()));
        std::time_t const seconds = std::chrono::system_clock::to_time_t(at);
        char formatted_time[32];
        std::strftime(formatted_time, sizeof formatted_time, "%FT%TZ", std::gmtime(&seconds));
        fmt::print("{} {} version {} by {}: {}\n", formatted_time,
                   accepted ? "accepted" : "refused", member_as_text(each, "version"),
                   member_as_text(each, "who"), member_as_text(each, "why"));
        std::istringstream detail(member_as_text(each, "detail"));
        for (std::string line; std::getline(detail, line);)
            fmt::print("    {}\n", line);
    }
    if (audit.body.as_array().size() == arguments.audit_limit)
        fmt::print("older records: --before {}\n",
                   member_as_text(audit.body.as_array().back(), "key"));
    return tool_exit_code::success;
}

tool_exit_code run_lookup(command_arguments const& arguments)
{
    daemon_client client(arguments.daemon_addresses);
    call_options options;
    options.path =
        fmt::format("/v1/lookup/{}?region={}", arguments.service, percent_encode(arguments.region));
    auto const answer = client.send(options, true);
    if (!answer)
        return print_unreachable(arguments);
    bool const found = answer->head.status == status_ok;
    (found ? std::cout : std::cerr) << answer->body;
    return found ? tool_exit_code::success : tool_exit_code::refused;
}

tool_exit_code run_call(command_arguments const& arguments)
{
    daemon_client client(arguments.daemon_addresses);
    call_options options;
    options.method = arguments.body.empty() ? "GET" : "POST";
    options.path = "/v1/call/" + arguments.service + arguments.path;
    options.body = arguments.body;
    if (!arguments.ticket.empty())
        options.headers.add("burdockstep-ticket", arguments.ticket);
    auto const answer = client.send(options, false);
    if (!answer && client.is_outcome_unknown()) {
        std::cerr << "outcome: unknown\n";
        return tool_exit_code::unknown;
    }
    if (!answer)
        return print_unreachable(arguments);
    std::string const outcome(answer->head.headers.find("burdockstep-outcome"));
    std::cerr << fmt::format("status: {}\noutcome: {}\n", answer->head.status, outcome);
    std::string const next_ticket(answer->head.headers.find("burdockstep-next-ticket"));
    if (!next_ticket.empty())
        std::cerr << "next ticket: " << next_ticket << "\n";
    std::cout << answer->body;
    if (outcome == "answered")
        return tool_exit_code::success;
    return outcome == "unknown" ? tool_exit_code::unknown : tool_exit_code::refused;
}

} // namespace burdockstep
