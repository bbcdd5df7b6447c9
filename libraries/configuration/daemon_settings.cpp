#include "libraries/configuration/daemon_settings.hpp"

#include "libraries/configuration/table_reader.hpp"

namespace burdockstep {

namespace {

constexpr std::int64_t default_lookup_lifetime_ms = 5'000;
constexpr std::int64_t default_drain_limit_ms = 120'000;
constexpr integer_range memory_mb_range{.lowest = 64, .highest = 1'048'576};
constexpr std::int64_t default_memory_mb = 256;
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

void read_instance(table_reader& table, daemon_settings& settings)
{
    settings.instance = instance_name(table.name("name"));
    settings.place = place_name(table.name("place"));
    settings.region = region_name(table.name("region"));
    settings.callers = table.socket_address("callers");
    settings.operators = table.socket_address("operators");
    settings.peers = table.socket_address("peers");
    settings.lookup_lifetime = std::chrono::milliseconds(table.integer_or(
        "lookup_lifetime_ms", {.lowest = 100, .highest = 60'000}, default_lookup_lifetime_ms));
    settings.drain_limit = std::chrono::milliseconds(table.integer_or(
        "drain_limit_ms", {.lowest = 1'000, .highest = 3'600'000}, default_drain_limit_ms));
    settings.memory_bytes =
        bytes_per_mb *
        static_cast<std::size_t>(table.integer_or("memory_mb", memory_mb_range, default_memory_mb));
    bool const uses_caller_address =
        settings.callers.port != 0 && settings.callers == settings.operators;
    if (uses_caller_address)
        table.report("operators", settings.operators.text(),
                     "give operators their own address, different from the callers' address");
    table.report_unknown_keys();
}

} // namespace

daemon_settings_parse_result read_daemon_settings(std::string const& file, std::string_view text)
{
    daemon_settings_parse_result parse_result;
    auto const root_table = parse_toml(file, text, parse_result.findings);
    if (!root_table)
        return parse_result;
    daemon_settings settings;
    table_reader root(file, "", *root_table, parse_result.findings);
    if (toml::table const* const table = root.table("instance")) {
        table_reader instance(file, "instance", *table, parse_result.findings);
        read_instance(instance, settings);
    }
    if (toml::table const* const table = root.table("platform")) {
        table_reader platform(file, "platform", *table, parse_result.findings);
        settings.platform = platform.socket_address("address");
        platform.report_unknown_keys();
    }
    for (std::string const& each : root.string_list("seeds")) {
        settings.seeds.push_back(handle_failure([&] { return parse_address(each); },
                                                [&](failure const& error) {
                                                    root.report("seeds", each, error.message);
                                                    return address{};
                                                }));
    }
    root.report_unknown_keys();
    if (parse_result.findings.empty())
        parse_result.settings = std::move(settings);
    return parse_result;
}

} // namespace burdockstep
