#include "libraries/routing/route_table.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Lower case, without the port.
std::string plain_host(std::string_view host)
{
    std::string plain(host.substr(0, host.rfind(':')));
    std::transform(plain.begin(), plain.end(), plain.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
    });
    return plain;
}

} // namespace

route_table::route_table(std::shared_ptr<routing_document const> document)
    : document_(std::move(document))
{
    for (route const& each : document_->routes)
        hosts_[each.host].push_back(&each);
    for (auto& [host, routes] : hosts_) {
        std::stable_sort(routes.begin(), routes.end(), [](route const* left, route const* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (service_terms const& each : document_->services)
        services_.emplace(each.name, &each);
}

route const* route_table::find(std::string_view host, std::string_view path) const
{
    auto const found = hosts_.find(plain_host(host));
    if (found == hosts_.end())
        return nullptr;
    std::string_view const plain_path = path.substr(0, path.find('?'));
    for (route const* const each : found->second) {
        if (plain_path.starts_with(each->prefix))
            return each;
    }
    return nullptr;
}

service_terms const* route_table::terms_of(service_name const& service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

service_name const& weighted_split::next(route const& which)
{
    if (which.services.size() == 1)
        return which.services.front().service;
    std::vector<double> weights;
    double total = 0;
    for (weighted_service const& each : which.services) {
        weights.push_back(each.weight);
        total += each.weight;
    }
    balance& kept = balances_[which.host + which.prefix];
    if (kept.weights != weights)
        kept = {.weights = weights, .credit = std::vector<double>(weights.size(), 0.0)};
    for (std::size_t i = 0; i < weights.size(); ++i)
        kept.credit[i] += weights[i];
    auto const richest = std::max_element(kept.credit.begin(), kept.credit.end());
    *richest -= total;
    return which.services[static_cast<std::size_t>(richest - kept.credit.begin())].service;
}

} // namespace burdockstep
