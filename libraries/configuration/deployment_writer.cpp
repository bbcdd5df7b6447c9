#include "libraries/configuration/deployment_writer.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <map>
#include <vector>

namespace burdockstep {

namespace {

std::int64_t milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::string quoted(std::string const& text)
{
    std::string escaped = "\"";
    for (char const c : text) {
        if (c == '"' || c == '\\')
            escaped.push_back('\\');
        escaped.push_back(c);
    }
    return escaped + "\"";
}

std::string write_deployment_and_delays(deployment const& document)
{
    std::vector<std::string> regions;
    for (region_name const& each : document.regions)
        regions.push_back(quoted(each.get()));
    return fmt::format("[deployment]\nname = {}\nregions = [{}]\n\n"
                       "[delays]\nto_callers_ms = {}\nbetween_places_ms = {}\n"
                       "between_regions_ms = {}\n",
                       quoted(document.name), fmt::join(regions, ", "),
                       milliseconds(document.delays.to_callers),
                       milliseconds(document.delays.between_places),
                       milliseconds(document.delays.between_regions));
}

std::string write_service(service const& each)
{
    return fmt::format("\n[[service]]\nname = {}\nclass = \"{}\"\nidempotent = {}\n"
                       "deadline_ms = {}\nshift_cap_percent = {}\nshift_interval_ms = {}\n"
                       "priority = {}\n",
                       quoted(each.name.get()),
                       each.work == service_class::slow_processing_time ? "long" : "short",
                       each.idempotent, milliseconds(each.deadline), each.shift_cap.get(),
                       milliseconds(each.shift_interval), each.priority);
}

std::string write_upstreams(deployment const& document)
{
    struct upstream_group
    {
        upstream first_upstream;
        std::vector<std::string> addresses;
    };
    std::vector<upstream_group> upstream_groups;
    for (upstream const& each : document.upstreams) {
        bool const same_group = !upstream_groups.empty() &&
                                upstream_groups.back().first_upstream.service == each.service &&
                                upstream_groups.back().first_upstream.place == each.place;
        if (!same_group)
            upstream_groups.push_back({.first_upstream = each, .addresses = {}});
        upstream_groups.back().addresses.push_back(quoted(each.at.text()));
    }
    std::string text;
    for (upstream_group const& each : upstream_groups) {
        text += fmt::format("\n[[upstreams]]\nservice = {}\nplace = {}\nslots = {}\n"
                            "addresses = [{}]\n",
                            quoted(each.first_upstream.service.get()),
                            quoted(each.first_upstream.place.get()),
                            each.first_upstream.slots.get(), fmt::join(each.addresses, ", "));
    }
    return text;
}

std::string write_drain(drain const& each)
{
    constexpr char const* scopes[] = {"upstream", "place", "region"};
    return fmt::format("\n[[drain]]\nscope = \"{}\"\nname = {}\nreason = {}\n",
                       scopes[static_cast<int>(each.scope)], quoted(each.name),
                       quoted(each.reason));
}

std::string write_client_group(client_group const& each)
{
    std::vector<std::string> blocks;
    for (std::string const& block : each.blocks)
        blocks.push_back(quoted(block));
    return fmt::format("\n[[clients]]\nregion = {}\nblocks = [{}]\n", quoted(each.region.get()),
                       fmt::join(blocks, ", "));
}

} // namespace

std::string write_deployment(deployment const& document)
{
    std::string text = write_deployment_and_delays(document);
    for (place const& each : document.places)
        text +=
            fmt::format("\n[[place]]\nname = {}\nregion = {}\ncap_percent = {}\n",
                        quoted(each.name.get()), quoted(each.region.get()), each.load_cap.get());
    for (region_link const& each : document.links)
        text += fmt::format("\n[[link]]\nfrom = {}\nto = {}\nmegabits_per_second = {}\n",
                            quoted(each.from.get()), quoted(each.to.get()), each.capacity.get());
    for (service const& each : document.services)
        text += write_service(each);
    text += write_upstreams(document);
    for (drain const& each : document.drains)
        text += write_drain(each);
    for (client_group const& each : document.client_groups)
        text += write_client_group(each);
    return text;
}

} // namespace burdockstep
