/// Finds the route of a request and the service that answers it.
#pragma once

#include "libraries/routing/routing_document.hpp"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace burdockstep {

/// Indexes one document by host and prefix.
class route_table
{
public:
    explicit route_table(std::shared_ptr<routing_document const> document);

    /// The route with the longest prefix that begins the path, or null.
    route const* find(std::string_view host, std::string_view path) const;
    service_settings const* settings_of(service_name const& service) const;
    routing_document const& document() const { return *document_; }

private:
    std::shared_ptr<routing_document const> document_;
    /// Of each host, the longest prefix first.
    std::map<std::string, std::vector<route const*>, std::less<>> routes_by_host_;
    std::map<service_name, service_settings const*> services_by_name_;
};

/// Deals the requests of split routes out to their services in the proportion of the weights. It
/// outlives documents, so that a change elsewhere doesn't start the proportions anew.
class weighted_split
{
public:
    /// The service of the next request. Over any stretch of requests each service's part is off its
    /// weight by less than one request.
    service_name const& next_service(route const& for_route);

private:
    struct split_state
    {
        std::vector<double> weights;
        std::vector<double> credit;
    };

    std::map<std::string, split_state> split_states_; ///< By host and prefix.
};

} // namespace burdockstep
