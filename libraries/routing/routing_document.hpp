/// The routing document: routes, services and limits that take effect together.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/teams/team_settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace burdockstep {

/// Kind of a request: whether it may be sent again, and whether its answer is large.
enum class request_kind
{
    idempotent,
    non_idempotent,
    download ///< Idempotent, with a large answer.
};

/// Returns true when a request may be executed more than once.
inline bool is_idempotent(request_kind kind)
{
    return kind != request_kind::non_idempotent;
}

/// One service of a route and its weight in the distribution of requests.
struct weighted_service
{
    service_name service;
    double weight = 1;
};

/// Rules for the requests to one host whose path begins with a prefix.
struct route
{
    std::string name;
    std::string host;   ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::idempotent;
    duration latency_objective{};
    unsigned urgency_rank = 0; ///< 0 is the most urgent; higher numbers are less urgent.
    bool affinity = false;
    bool is_public = false; ///< Callers need no key.
    std::vector<weighted_service> services;
    duration timeout{};
    unsigned max_upstreams = 1; ///< Maximum number of upstreams that one request is sent to.
    /// Regions in which requests may be served; empty means all.
    std::vector<region_name> home_regions;
};

/// Settings for all upstreams of one service.
struct service_settings
{
    service_name name;
    std::string health_path;
    unsigned max_connections = 0;
    duration cold_start_duration{}; ///< Warm-up time of an upstream after its start.
    double cold_requests_per_s = 0; ///< Maximum rate for a cold upstream; 0: unlimited.
};

/// Limits on the requests and connections of callers.
struct caller_limits
{
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    duration head_timeout{};
    duration idle_timeout{};
};

/// One version of the routing document. Versions only increase.
struct routing_document
{
    configuration_version version;
    std::vector<route> routes;
    std::vector<service_settings> services;
    caller_limits limits;
    /// True if callers must identify themselves by keys, except on public routes.
    bool identifies_callers = false;
    std::vector<team_settings> teams;
};

} // namespace burdockstep
