#include "libraries/configuration/gateway_settings.hpp"

#include "libraries/configuration/table_reader.hpp"

#include <cmath>
#include <string>

namespace burdockstep {

namespace {

constexpr std::int64_t default_lookup_lifetime_ms = 2'000;
constexpr std::int64_t default_stop_limit_ms = 6'000;
constexpr std::int64_t default_drain_limit_ms = 2'000;
constexpr double default_retry_ratio = 0.1;
constexpr double default_retry_slack = 20;
constexpr std::int64_t default_retry_window_s = 10;
constexpr double default_max_region_shift_share = 0.15;
constexpr std::int64_t default_memory_mb = 256;
/// Below this, entries that are in touch couldn't act on keys all the time.
constexpr std::int64_t min_key_revocation_limit_ms = 3'000;
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

void read_instance(table_reader& table, gateway_settings& settings)
{
    settings.instance = instance_name(table.text("name"));
    settings.place = place_name(table.text("place"));
    settings.region = region_name(table.text("region"));
    settings.callers = table.socket_address("callers");
    settings.readiness = table.socket_address("readiness");
    settings.lookups = table.socket_address("lookups");
    settings.metrics = table.socket_address("metrics");
    settings.peers = table.socket_address("peers");
    settings.store = table.socket_address("store");
    table.report_unknown_keys();
}

void read_key_revocation_limit(table_reader& table, gateway_settings& settings)
{
    std::string_view const key = "key_revocation_limit_ms";
    std::int64_t const limit_ms = table.integer_or(key, {.lowest = 0, .highest = 3'600'000}, 0);
    bool const is_too_short = limit_ms > 0 && limit_ms < min_key_revocation_limit_ms;
    if (is_too_short)
        table.report(key, std::to_string(limit_ms),
                     "set 3000 or more, or 0 for no limit: proofs of how new keys are may be a "
                     "second or two old");
    settings.key_revocation_limit = std::chrono::milliseconds(limit_ms);
}

/// 0 stands for a figure that isn't known, as does an absent one.
entry_capacity read_capacity(table_reader& table)
{
    double const cores =
        table.number_or("core_share", {.lowest = 0, .highest = max_core_thousandths / 1e3}, 0);
    double const link_mbps =
        table.number_or("link_mbps", {.lowest = 0, .highest = max_link_kbps / 1e3}, 0);
    return {.core_thousandths = static_cast<std::uint32_t>(std::ceil(cores * 1e3)),
            .link_kbps = static_cast<std::uint32_t>(std::ceil(link_mbps * 1e3))};
}

void read_limits(table_reader& table, gateway_settings& settings)
{
    using std::chrono::milliseconds;
    settings.lookup_lifetime = milliseconds(table.integer_or(
        "lookup_lifetime_ms", {.lowest = 100, .highest = 60'000}, default_lookup_lifetime_ms));
    settings.stop_limit = milliseconds(table.integer_or(
        "stop_limit_ms", {.lowest = 500, .highest = 3'600'000}, default_stop_limit_ms));
    settings.drain_limit = milliseconds(table.integer_or(
        "drain_limit_ms", {.lowest = 100, .highest = 600'000}, default_drain_limit_ms));
    settings.retry_ratio =
        table.number_or("retry_ratio", {.lowest = 0, .highest = 1}, default_retry_ratio);
    settings.retry_slack =
        table.number_or("retry_slack", {.lowest = 0, .highest = 1e6}, default_retry_slack);
    settings.retry_window = std::chrono::seconds(table.integer_or(
        "retry_window_s", {.lowest = 1, .highest = 3'600}, default_retry_window_s));
    settings.max_region_shift_share =
        table.number_or("most_shift", {.lowest = 0, .highest = 1}, default_max_region_shift_share);
    read_key_revocation_limit(table, settings);
    settings.memory_bytes =
        bytes_per_mb * static_cast<std::size_t>(table.integer_or(
                           "memory_mb", {.lowest = 32, .highest = 1'048'576}, default_memory_mb));
    settings.capacity = read_capacity(table);
    settings.max_descriptors = static_cast<std::size_t>(
        table.integer_or("max_descriptors", {.lowest = 0, .highest = 1'048'576}, 0));
    table.report_unknown_keys();
}

void read_places(toml::table const& table, table_reader& root, gateway_settings& settings)
{
    for (auto const& [place, region] : table) {
        auto const name = region.value<std::string>();
        if (!name) {
            root.report("places", std::string(place.str()), "write the region as a text in quotes");
            continue;
        }
        settings.places.emplace(place_name(std::string(place.str())), region_name(*name));
    }
}

} // namespace

gateway_settings_parse_result read_gateway_settings(std::string const& file, std::string_view text)
{
    gateway_settings_parse_result parse_result;
    auto const root_table = parse_toml(file, text, parse_result.findings);
    if (!root_table)
        return parse_result;
    gateway_settings settings;
    table_reader root(file, "", *root_table, parse_result.findings);
    if (toml::table const* const table = root.table("instance")) {
        table_reader instance(file, "instance", *table, parse_result.findings);
        read_instance(instance, settings);
    }
    if (toml::table const* const table = root.table("limits")) {
        table_reader limits(file, "limits", *table, parse_result.findings);
        read_limits(limits, settings);
    }
    if (toml::table const* const table = root.table("places"))
        read_places(*table, root, settings);
    root.report_unknown_keys();
    if (parse_result.findings.empty())
        parse_result.settings = std::move(settings);
    return parse_result;
}

} // namespace burdockstep
