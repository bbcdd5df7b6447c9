/// Selects the route of a request and the service that answers it.
#pragma once

#include "libraries/routing/routing_document.hpp"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace burdockstep {

/// Index of one routing document by host and path prefix.
class route_table
{
public:
    explicit route_table(std::shared_ptr<routing_document const> document);

    /// Returns the route of the host with the longest prefix of the path, or null. The port of the
    /// host and the query of the path are ignored.
    route const* find(std::string_view host, std::string_view path) const;
    service_settings const* settings_of(service_name const& service) const;
    routing_document const& document() const { return *document_; }

private:
    std::shared_ptr<routing_document const> document_;
    /// The routes of each host, ordered from the longest to the shortest prefix.
    std::map<std::string, std::vector<route const*>, std::less<>> routes_by_host_;
    std::map<service_name, service_settings const*> services_by_name_;
};

/// Distributes the requests of a route over its services in proportion to their weights. It is kept
/// when a new document arrives, so that a change of other routes doesn't reset the distribution.
class weighted_split
{
public:
    /// Returns the service of the next request. Over any sequence of requests, the number that
    /// each service receives deviates from its weighted share by less than one.
    service_name const& next_service(route const& for_route);

private:
    struct split_state
    {
        std::vector<double> weights;
        std::vector<double> credit;
    };

    std::map<std::string, split_state> split_states_; ///< Keyed by host and prefix.
};

} // namespace burdockstep
