#include "libraries/configuration/deployment_reader.hpp"

#include "libraries/configuration/table_reader.hpp"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace burdockstep {

namespace {

constexpr std::int64_t max_slots_per_upstream = 1024;
constexpr std::int64_t max_network_delay_ms = 2'000;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::int64_t max_shift_interval_ms = 3'600'000;
constexpr std::int64_t max_service_priority = 9;
constexpr double max_link_capacity_mbit = 1e6;

duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

/// Parses the sections of a document one after another and checks the references between them.
class document_parser
{
public:
    document_parser(std::string file, toml::table const& root, std::vector<finding>& findings)
        : file_(std::move(file)), findings_(findings), root_(file_, "", root, findings)
    {}

    /// Parses the whole document. Errors are added to the findings passed to the constructor.
    deployment parsed()
    {
        parse_deployment_and_delays();
        parse_places();
        parse_links();
        parse_services();
        parse_upstreams();
        parse_drains();
        parse_client_groups();
        root_.report_unknown_keys();
        return std::move(document_);
    }

private:
    table_reader reader_for(std::string const& path, toml::table const& table)
    {
        return {file_, path, table, findings_};
    }

    void parse_deployment_and_delays()
    {
        if (toml::table const* const table = root_.table("deployment")) {
            table_reader deployment_table = reader_for("deployment", *table);
            document_.name = deployment_table.name("name");
            for (std::string const& each : deployment_table.string_list("regions"))
                document_.regions.emplace_back(each);
            if (document_.regions.empty())
                deployment_table.report("regions", "no region", "name at least one region");
            deployment_table.report_unknown_keys();
        }
        if (toml::table const* const table = root_.table("delays")) {
            table_reader delays = reader_for("delays", *table);
            integer_range const range{.lowest = 0, .highest = max_network_delay_ms};
            document_.delays.to_callers = milliseconds(delays.integer("to_callers_ms", range));
            document_.delays.between_places =
                milliseconds(delays.integer("between_places_ms", range));
            document_.delays.between_regions =
                milliseconds(delays.integer("between_regions_ms", range));
            delays.report_unknown_keys();
        }
    }

    bool is_declared_region(region_name const& name) const
    {
        return std::find(document_.regions.begin(), document_.regions.end(), name) !=
               document_.regions.end();
    }

    region_name parse_declared_region(table_reader& table, std::string_view key)
    {
        region_name name(table.name(key));
        if (!name.get().empty() && !is_declared_region(name))
            table.report(key, name.get(), "name a region that stands in deployment.regions");
        return name;
    }

    void check_unique_name(table_reader& table, std::set<std::string>& seen,
                           std::string const& name)
    {
        if (!name.empty() && !seen.insert(name).second)
            table.report("name", name, "this name is taken; give each its own");
    }

    void parse_places()
    {
        std::set<std::string> names;
        for (toml::table const* const each : root_.table_list("place")) {
            table_reader table = reader_for("place", *each);
            place parsed;
            parsed.name = place_name(table.name("name"));
            parsed.region = parse_declared_region(table, "region");
            parsed.load_cap =
                percent(table.number_or("cap_percent", {.lowest = 1, .highest = 100}, 100));
            check_unique_name(table, names, parsed.name.get());
            table.report_unknown_keys();
            document_.places.push_back(std::move(parsed));
        }
        if (document_.places.empty())
            root_.report("place", "no place", "describe at least one [[place]]");
    }

    void parse_links()
    {
        for (toml::table const* const each : root_.table_list("link")) {
            table_reader table = reader_for("link", *each);
            region_link link;
            link.from = parse_declared_region(table, "from");
            link.to = parse_declared_region(table, "to");
            if (link.from == link.to)
                table.report("to", link.to.get(), "name two different regions");
            number_range const range{.lowest = 0.1, .highest = max_link_capacity_mbit};
            link.capacity = megabits_per_second(table.number("megabits_per_second", range));
            table.report_unknown_keys();
            document_.links.push_back(std::move(link));
        }
    }

    void parse_services()
    {
        std::set<std::string> names;
        for (toml::table const* const each : root_.table_list("service")) {
            table_reader table = reader_for("service", *each);
            document_.services.push_back(parse_service(table));
            check_unique_name(table, names, document_.services.back().name.get());
            table.report_unknown_keys();
        }
        if (document_.services.empty())
            root_.report("service", "no service", "describe at least one [[service]]");
    }

    static service parse_service(table_reader& table)
    {
        service parsed;
        parsed.name = service_name(table.name("name"));
        parsed.work = table.choice("class", {"short", "long"}) == "long"
                          ? service_class::slow_processing_time
                          : service_class::short_work;
        parsed.idempotent = table.boolean("idempotent");
        parsed.deadline =
            milliseconds(table.integer("deadline_ms", {.lowest = 1, .highest = max_deadline_ms}));
        parsed.shift_cap =
            percent(table.number("shift_cap_percent", {.lowest = 0.1, .highest = 100}));
        parsed.shift_interval = milliseconds(
            table.integer("shift_interval_ms", {.lowest = 100, .highest = max_shift_interval_ms}));
        parsed.priority = static_cast<unsigned>(
            table.integer_or("priority", {.lowest = 0, .highest = max_service_priority}, 5));
        return parsed;
    }

    void parse_upstreams()
    {
        std::set<std::string> names;
        for (toml::table const* const each : root_.table_list("upstreams")) {
            table_reader table = reader_for("upstreams", *each);
            parse_upstream_group(table, names);
            table.report_unknown_keys();
        }
        for (service const& each : document_.services)
            check_service_has_upstream(each);
    }

    void parse_upstream_group(table_reader& table, std::set<std::string>& names)
    {
        service_name const service(table.name("service"));
        if (!service.get().empty() && document_.find_service(service) == nullptr)
            table.report("service", service.get(), "name a service that stands in a [[service]]");
        place_name const place(table.name("place"));
        if (!place.get().empty() && document_.find_place(place) == nullptr)
            table.report("place", place.get(), "name a place that stands in a [[place]]");
        auto const slots = static_cast<std::uint32_t>(
            table.integer("slots", {.lowest = 1, .highest = max_slots_per_upstream}));
        unsigned index = 0;
        for (std::string const& text : table.string_list("addresses")) {
            ++index;
            upstream parsed;
            parsed.name = upstream_name(fmt::format("{}-{}-{}", service.get(), place.get(), index));
            parsed.service = service;
            parsed.place = place;
            parsed.slots = slot_count(slots);
            parsed.at = parse_unique_address(table, text);
            if (!names.insert(parsed.name.get()).second)
                table.report("service", parsed.name.get(),
                             "write all upstreams of a service in one place under one heading");
            document_.upstreams.push_back(std::move(parsed));
        }
        if (index == 0)
            table.report("addresses", "no address", "list at least one IP:PORT");
    }

    address parse_unique_address(table_reader& table, std::string const& text)
    {
        address const parsed_address =
            handle_failure([&] { return parse_address(text); },
                           [&](failure const& error) {
                               table.report("addresses", text, error.message);
                               return address{};
                           });
        bool const is_duplicate =
            parsed_address.port != 0 && !upstream_addresses_.insert(parsed_address).second;
        if (is_duplicate)
            table.report("addresses", text, "this address is taken; give each upstream its own");
        return parsed_address;
    }

    void check_service_has_upstream(service const& candidate)
    {
        auto const serves = [&](upstream const& each) { return each.service == candidate.name; };
        if (std::none_of(document_.upstreams.begin(), document_.upstreams.end(), serves))
            root_.report("upstreams", fmt::format("none for service {}", candidate.name.get()),
                         "describe at least one upstream for each service");
    }

    void parse_drains()
    {
        for (toml::table const* const each : root_.table_list("drain")) {
            table_reader table = reader_for("drain", *each);
            drain parsed;
            std::string const scope = table.choice("scope", {"upstream", "place", "region"});
            if (scope == "place")
                parsed.scope = drain_scope::place;
            if (scope == "region")
                parsed.scope = drain_scope::region;
            parsed.name = table.name("name");
            parsed.reason = table.text("reason");
            if (!names_existing_target(parsed))
                table.report("name", parsed.name, fmt::format("name a {} of this file", scope));
            table.report_unknown_keys();
            document_.drains.push_back(std::move(parsed));
        }
        for (service const& each : document_.services)
            check_service_keeps_undrained_upstream(each);
    }

    void parse_client_groups()
    {
        std::vector<client_block> blocks;
        std::set<std::string> seen;
        for (toml::table const* const each : root_.table_list("clients")) {
            table_reader table = reader_for("clients", *each);
            client_group group{.region = parse_declared_region(table, "region"),
                               .blocks = table.string_list("blocks")};
            auto const region =
                std::find(document_.regions.begin(), document_.regions.end(), group.region);
            auto const index = static_cast<std::uint16_t>(region - document_.regions.begin());
            for (std::string const& text : group.blocks) {
                client_block block = parse_block_or_report(table, text);
                block.region = index;
                blocks.push_back(block);
                if (!seen.insert(text).second)
                    table.report("blocks", text, "list each block once, under one region");
            }
            table.report_unknown_keys();
            document_.client_groups.push_back(std::move(group));
        }
        document_.client_region_lookup = client_block_table(std::move(blocks));
    }

    static client_block parse_block_or_report(table_reader& table, std::string const& text)
    {
        return handle_failure([&] { return parse_client_block(text); },
                              [&](failure const& error) {
                                  table.report("blocks", text, error.message);
                                  return client_block{};
                              });
    }

    /// Whether the drain's target exists in the document.
    bool names_existing_target(drain const& candidate) const
    {
        switch (candidate.scope) {
        case drain_scope::region:
            return is_declared_region(region_name(candidate.name));
        case drain_scope::place:
            return document_.find_place(place_name(candidate.name)) != nullptr;
        case drain_scope::upstream:
            return std::any_of(
                document_.upstreams.begin(), document_.upstreams.end(),
                [&](upstream const& each) { return each.name.get() == candidate.name; });
        }
        return false;
    }

    void check_service_keeps_undrained_upstream(service const& candidate)
    {
        auto const serves = [&](upstream const& each) {
            return each.service == candidate.name && !document_.is_draining(each);
        };
        bool const has_undrained_upstream =
            std::any_of(document_.upstreams.begin(), document_.upstreams.end(), serves);
        if (!has_undrained_upstream && !document_.drains.empty())
            root_.report("drain", fmt::format("every upstream of {}", candidate.name.get()),
                         "leave at least one upstream of each service undrained");
    }

    std::string file_;
    std::vector<finding>& findings_;
    table_reader root_;
    deployment document_;
    std::set<address> upstream_addresses_;
};

} // namespace

deployment_parse_result read_deployment(std::string const& file, std::string_view text)
{
    deployment_parse_result parse_result;
    if (text.size() > max_document_bytes) {
        parse_result.findings.push_back(
            {.file = file,
             .line = 0,
             .key = "size",
             .seen = fmt::format("{} bytes", text.size()),
             .remedy = fmt::format("keep the file under {} bytes", max_document_bytes)});
        return parse_result;
    }
    auto const table = parse_toml(file, text, parse_result.findings);
    if (!table)
        return parse_result;
    deployment document = document_parser(file, *table, parse_result.findings).parsed();
    if (parse_result.findings.empty())
        parse_result.document = std::move(document);
    return parse_result;
}

} // namespace burdockstep
