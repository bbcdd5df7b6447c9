#include "libraries/routing/route_table.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Returns the host in lower case, without the port.
std::string normalized_host(std::string_view host)
{
    std::string normalized(host.substr(0, host.rfind(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
    });
    return normalized;
}

} // namespace

route_table::route_table(std::shared_ptr<routing_document const> document)
    : document_(std::move(document))
{
    for (route const& each : document_->routes)
        routes_by_host_[each.host].push_back(&each);
    for (auto& [host, routes] : routes_by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](route const* left, route const* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (service_settings const& each : document_->services)
        services_by_name_.emplace(each.name, &each);
}

route const* route_table::find(std::string_view host, std::string_view path) const
{
    auto const found = routes_by_host_.find(normalized_host(host));
    if (found == routes_by_host_.end())
        return nullptr;
    std::string_view const path_without_query = path.substr(0, path.find('?'));
    for (route const* const each : found->second) {
        if (path_without_query.starts_with(each->prefix))
            return each;
    }
    return nullptr;
}

service_settings const* route_table::settings_of(service_name const& service) const
{
    auto const found = services_by_name_.find(service);
    return found == services_by_name_.end() ? nullptr : found->second;
}

service_name const& weighted_split::next_service(route const& for_route)
{
    if (for_route.services.size() == 1)
        return for_route.services.front().service;
    std::vector<double> weights;
    double total = 0;
    for (weighted_service const& each : for_route.services) {
        weights.push_back(each.weight);
        total += each.weight;
    }
    split_state& state = split_states_[for_route.host + for_route.prefix];
    if (state.weights != weights)
        state = {.weights = weights, .credit = std::vector<double>(weights.size(), 0.0)};
    for (std::size_t i = 0; i < weights.size(); ++i)
        state.credit[i] += weights[i];
    auto const highest_credit = std::max_element(state.credit.begin(), state.credit.end());
    *highest_credit -= total;
    return for_route.services[static_cast<std::size_t>(highest_credit - state.credit.begin())]
        .service;
}

} // namespace burdockstep
