/// Routes, services and limits that are in force together.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace burdockstep {

/// What may be repeated, and what a request is like.
enum class request_kind
{
    idempotent,
    non_idempotent,
    download ///< Idempotent, with a large answer.
};

/// True when a request may run more than once.
inline bool is_idempotent(request_kind kind)
{
    return kind != request_kind::non_idempotent;
}

/// One service of a route with its part of the requests.
struct weighted_service
{
    service_name service;
    double weight = 1;
};

/// Requests of one host whose path begins with a prefix.
struct route
{
    std::string name;
    std::string host;   ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::idempotent;
    duration latency_objective{};
    unsigned urgency_rank = 0; ///< 0 is the most urgent.
    bool affinity = false;
    std::vector<weighted_service> services;
    duration timeout{};
    unsigned max_upstreams = 1; ///< Upstreams to which one request may be sent.
    /// Regions in which it may be served; empty: all.
    std::vector<region_name> home_regions;
};

/// What holds for all upstreams of a service.
struct service_settings
{
    service_name name;
    std::string health_path;
    unsigned max_connections = 0;
    duration cold_start_duration{}; ///< For how long a started upstream is cold.
    double cold_requests_per_s = 0; ///< What a cold upstream bears; 0: no bound.
};

/// What callers may send.
struct caller_limits
{
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    duration head_timeout{};
    duration idle_timeout{};
};

/// One version of all of it. Versions only grow.
struct routing_document
{
    configuration_version version;
    std::vector<route> routes;
    std::vector<service_settings> services;
    caller_limits limits;
};

} // namespace burdockstep
