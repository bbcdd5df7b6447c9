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

/// The file's text; prints what is wrong when it can't be read.
std::optional<std::string> read_or_report(std::string const& path)
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

std::optional<deployment> read_checked(std::string const& path, std::string const& text)
{
    deployment_parse_result reading = read_deployment(path, text);
    if (!reading.document)
        std::cerr << findings_text(reading.findings);
    return std::move(reading.document);
}

tool_exit report_unreachable(command_arguments const& arguments)
{
    std::cerr << "no daemon answers at";
    for (address const& each : arguments.daemons)
        std::cerr << " " << each.text();
    std::cerr << "; check the addresses (--daemon), or whether the daemons run\n";
    return tool_exit::unreachable;
}

std::string escaped(std::string const& text)
{
    std::string encoded;
    for (unsigned char const c : text) {
        bool const plain = std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '/';
        encoded += plain ? std::string(1, static_cast<char>(c)) : fmt::format("%{:02X}", c);
    }
    return encoded;
}

std::optional<json::value> parse(std::string const& text)
{
    json::error_code code;
    json::value value = json::parse(text, code);
    return code ? std::nullopt : std::optional(std::move(value));
}

std::string text_at(json::value const& value, char const* key)
{
    json::value const* const found =
        value.is_object() ? value.get_object().if_contains(key) : nullptr;
    if (found == nullptr)
        return {};
    if (found->is_string())
        return std::string(found->get_string());
    return json::serialize(*found);
}

/// A page of a daemon as JSON; prints what is wrong when there is none.
struct page
{
    tool_exit code = tool_exit::done;
    int status = 0;
    json::value body;
};

page get_page(daemon_client& client, command_arguments const& arguments, std::string const& path)
{
    call_options options;
    options.path = path;
    auto const answer = client.ask(options, true);
    if (!answer)
        return {.code = report_unreachable(arguments)};
    auto body = parse(answer->body);
    if (!body) {
        std::cerr << "the daemon's answer doesn't decode; check that both are the same version\n";
        return {.code = tool_exit::unreachable};
    }
    if (answer->head.status != status_ok && answer->head.status != status_not_found) {
        std::cerr << text_at(*body, "error") << "\n";
        return {.code = tool_exit::unreachable, .status = answer->head.status};
    }
    return {.status = answer->head.status, .body = std::move(*body)};
}

/// The version and document in force; version 0 when there is none yet.
struct shown_document
{
    tool_exit code = tool_exit::done;
    std::string version = "0";
    std::string text;
};

shown_document get_document(daemon_client& client, command_arguments const& arguments)
{
    page const shown = get_page(client, arguments, "/v1/show");
    if (shown.code != tool_exit::done)
        return {.code = shown.code};
    if (shown.status == status_not_found)
        return {};
    return {.version = text_at(shown.body, "version"), .text = text_at(shown.body, "document")};
}

void print_progress(std::string const& line, bool last)
{
    bool const terminal = isatty(STDOUT_FILENO) != 0;
    if (terminal)
        std::cout << "\r\033[K" << line << (last ? "\n" : "") << std::flush;
    else
        std::cout << line << "\n";
}

/// Waits until every instance that is heard has the version; names those that haven't, and those
/// that aren't heard and take it up when they are back.
tool_exit wait_until_in_force(daemon_client& client, command_arguments const& arguments,
                              std::uint64_t version)
{
    constexpr auto poll_interval = std::chrono::milliseconds(100);
    auto const give_up = std::chrono::steady_clock::now() + arguments.patience;
    std::string last_line;
    while (true) {
        page const status = get_page(client, arguments, "/v1/status");
        if (status.code != tool_exit::done)
            return status.code;
        std::size_t there = 0;
        std::size_t all = 0;
        std::string missing;
        std::string lost;
        for (json::value const& each : status.body.at("entries").as_array()) {
            ++all;
            bool const has = each.at("configuration").to_number<std::uint64_t>() >= version;
            if (text_at(each, "state") == "lost")
                lost += " " + text_at(each, "instance");
            else if (has)
                ++there;
            else
                missing += " " + text_at(each, "instance");
        }
        bool const complete = missing.empty();
        bool const over = std::chrono::steady_clock::now() >= give_up;
        std::string const line =
            fmt::format("version {} in force on {} of {} instances{}{}{}{}", version, there, all,
                        missing.empty() ? "" : "; not yet on", missing,
                        lost.empty() ? "" : "; not heard", lost);
        if (line != last_line)
            print_progress(line, complete || over);
        last_line = line;
        if (complete || over)
            return tool_exit::done;
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

tool_exit run_check(command_arguments const& arguments)
{
    auto const text = read_or_report(arguments.file);
    if (!text)
        return tool_exit::usage;
    auto const document = read_checked(arguments.file, *text);
    if (!document)
        return tool_exit::refused;
    fmt::print("{}: valid; {} services, {} places, {} upstreams, {} drains\n", arguments.file,
               document->services.size(), document->places.size(), document->upstreams.size(),
               document->drains.size());
    return tool_exit::done;
}

tool_exit run_diff(command_arguments const& arguments)
{
    auto const text = read_or_report(arguments.file);
    if (!text)
        return tool_exit::usage;
    auto const document = read_checked(arguments.file, *text);
    if (!document)
        return tool_exit::refused;
    daemon_client client(arguments.daemons);
    shown_document const shown = get_document(client, arguments);
    if (shown.code != tool_exit::done)
        return shown.code;
    std::optional<deployment> before;
    if (!shown.text.empty())
        before = read_checked("in force", shown.text);
    std::string const difference = describe_difference(before ? &*before : nullptr, *document);
    fmt::print("against version {}:\n{}", shown.version,
               difference.empty() ? "no difference\n" : difference);
    return tool_exit::done;
}

tool_exit run_apply(command_arguments const& arguments)
{
    auto const text = read_or_report(arguments.file);
    if (!text)
        return tool_exit::usage;
    daemon_client client(arguments.daemons);
    std::string base;
    if (arguments.base) {
        base = *arguments.base;
    }
    else {
        shown_document const shown = get_document(client, arguments);
        if (shown.code != tool_exit::done)
            return shown.code;
        base = shown.version;
    }
    call_options options;
    options.method = "POST";
    options.path = fmt::format("/v1/apply?who={}&why={}&file={}&base={}", escaped(arguments.who),
                               escaped(arguments.reason), escaped(arguments.file), escaped(base));
    options.body = *text;
    options.deadline = std::chrono::seconds(60);
    auto const answer = client.ask(options, false);
    if (!answer && client.is_in_doubt()) {
        std::cerr << "the daemon's answer was lost; run 'burdockstep audit' to see whether the "
                     "change is there\n";
        return tool_exit::unknown;
    }
    if (!answer)
        return report_unreachable(arguments);
    auto const body = parse(answer->body);
    if (!body || text_at(*body, "verdict").empty()) {
        std::cerr << (body ? text_at(*body, "error") : std::string("answer doesn't decode"))
                  << "\n";
        return tool_exit::refused;
    }
    std::string const verdict = text_at(*body, "verdict");
    if (arguments.json)
        std::cout << json::serialize(*body) << "\n";
    if (verdict != "accepted") {
        if (!arguments.json)
            std::cerr << verdict << ": " << text_at(*body, "detail") << "\n";
        return answer->head.status == status_refused ? tool_exit::refused : tool_exit::unknown;
    }
    std::string const version = text_at(*body, "version");
    if (!arguments.json)
        fmt::print("accepted as version {}\n", version);
    if (!arguments.wait || arguments.json)
        return tool_exit::done;
    return wait_until_in_force(client, arguments, std::stoull(version));
}

tool_exit run_show(command_arguments const& arguments)
{
    daemon_client client(arguments.daemons);
    page const shown = get_page(client, arguments, "/v1/show");
    if (shown.code != tool_exit::done)
        return shown.code;
    if (shown.status == status_not_found) {
        std::cerr << text_at(shown.body, "error") << "\n";
        return tool_exit::refused;
    }
    if (arguments.json)
        std::cout << json::serialize(shown.body) << "\n";
    else
        fmt::print("# version {}\n{}", text_at(shown.body, "version"),
                   text_at(shown.body, "document"));
    return tool_exit::done;
}

tool_exit run_status(command_arguments const& arguments)
{
    daemon_client client(arguments.daemons);
    page const status = get_page(client, arguments, "/v1/status");
    if (status.code != tool_exit::done)
        return status.code;
    if (arguments.json) {
        std::cout << json::serialize(status.body) << "\n";
        return tool_exit::done;
    }
    fmt::print("asked {}; configuration {}; platform {}\n\n", text_at(status.body, "instance"),
               text_at(status.body, "configuration"),
               text_at(status.body, "platform_reachable") == "true" ? "answers" : "doesn't answer");
    fmt::print("{:<16}{:<14}{:<14}{:<10}{:>8}{:>14}\n", "instance", "place", "region", "state",
               "version", "heard-ms-ago");
    for (json::value const& each : status.body.at("entries").as_array())
        fmt::print("{:<16}{:<14}{:<14}{:<10}{:>8}{:>14}\n", text_at(each, "instance"),
                   text_at(each, "place"), text_at(each, "region"), text_at(each, "state"),
                   text_at(each, "configuration"), text_at(each, "heard_ms_ago"));
    fmt::print("\n{:<16}{:<14}{:>7}{:>11}{:>8}\n", "pool", "region", "slots", "in-flight",
               "queued");
    for (json::value const& each : status.body.at("pools").as_array())
        fmt::print("{:<16}{:<14}{:>7}{:>11}{:>8}\n", text_at(each, "service"),
                   text_at(each, "region"), text_at(each, "slots"), text_at(each, "in_flight"),
                   text_at(each, "queued"));
    for (json::value const& each : status.body.at("drains").as_array())
        fmt::print("drain of {}: {}\n", text_at(each, "name"), text_at(each, "reason"));
    for (json::value const& each : status.body.at("leaving_upstreams").as_array())
        fmt::print("{} is leaving, last sign {} ms ago\n", text_at(each, "upstream"),
                   text_at(each, "last_sign_ms_ago"));
    return tool_exit::done;
}

tool_exit run_audit(command_arguments const& arguments)
{
    daemon_client client(arguments.daemons);
    page const audit = get_page(
        client, arguments,
        fmt::format("/v1/audit?limit={}&before={}", arguments.limit, escaped(arguments.before)));
    if (audit.code != tool_exit::done)
        return audit.code;
    if (arguments.json) {
        std::cout << json::serialize(audit.body) << "\n";
        return tool_exit::done;
    }
    for (json::value const& each : audit.body.as_array()) {
        bool const accepted = text_at(each, "accepted") == "true";
        auto const at = std::chrono::system_clock::time_point(
            std::chrono::milliseconds(each.at("at_ms").to_number<std::int64_t>()));
        std::time_t const seconds = std::chrono::system_clock::to_time_t(at);
        char when[32];
        std::strftime(when, sizeof when, "%FT%TZ", std::gmtime(&seconds));
        fmt::print("{} {} version {} by {}: {}\n", when, accepted ? "accepted" : "refused",
                   text_at(each, "version"), text_at(each, "who"), text_at(each, "why"));
        std::istringstream detail(text_at(each, "detail"));
        for (std::string line; std::getline(detail, line);)
            fmt::print("    {}\n", line);
    }
    if (audit.body.as_array().size() == arguments.limit)
        fmt::print("more: --before {}\n", text_at(audit.body.as_array().back(), "key"));
    return tool_exit::done;
}

tool_exit run_lookup(command_arguments const& arguments)
{
    daemon_client client(arguments.daemons);
    call_options options;
    options.path =
        fmt::format("/v1/lookup/{}?region={}", arguments.service, escaped(arguments.region));
    auto const answer = client.ask(options, true);
    if (!answer)
        return report_unreachable(arguments);
    bool const found = answer->head.status == status_ok;
    (found ? std::cout : std::cerr) << answer->body;
    return found ? tool_exit::done : tool_exit::refused;
}

tool_exit run_call(command_arguments const& arguments)
{
    daemon_client client(arguments.daemons);
    call_options options;
    options.method = arguments.body.empty() ? "GET" : "POST";
    options.path = "/v1/call/" + arguments.service + arguments.path;
    options.body = arguments.body;
    if (!arguments.ticket.empty())
        options.headers.add("burdockstep-ticket", arguments.ticket);
    auto const answer = client.ask(options, false);
    if (!answer && client.is_in_doubt()) {
        std::cerr << "outcome: unknown\n";
        return tool_exit::unknown;
    }
    if (!answer)
        return report_unreachable(arguments);
    std::string const outcome(answer->head.headers.find("burdockstep-outcome"));
    std::cerr << fmt::format("status: {}\noutcome: {}\n", answer->head.status, outcome);
    std::string const next(answer->head.headers.find("burdockstep-next-ticket"));
    if (!next.empty())
        std::cerr << "next ticket: " << next << "\n";
    std::cout << answer->body;
    if (outcome == "answered")
        return tool_exit::done;
    return outcome == "unknown" ? tool_exit::unknown : tool_exit::refused;
}

} // namespace burdockstep
