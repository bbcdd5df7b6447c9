/// Identifiers and units used throughout the program.
#pragma once

#include "libraries/core/strong_type.hpp"

#include <cstdint>
#include <string>

namespace burdockstep {

/// Name of a region, such as "morbihan".
using region_name = strong_type<std::string, struct region_name_tag>;
/// Name of a place, which is a failure domain within a region.
using place_name = strong_type<std::string, struct place_name_tag>;
/// Name of a service; upstreams answer its requests.
using service_name = strong_type<std::string, struct service_name_tag>;
/// Name of an upstream, unique within a deployment.
using upstream_name = strong_type<std::string, struct upstream_name_tag>;
/// Tells the incarnations of an upstream apart: the wall clock, in milliseconds, of its start; 0 if
/// the upstream didn't report it.
using upstream_incarnation = strong_type<std::int64_t, struct upstream_incarnation_tag>;
/// Name of a team: the callers that share keys, a quota and a priority.
using team_name = strong_type<std::string, struct team_name_tag>;
/// Name of an entry instance in the platform's instance list. It stays the same over restarts.
using instance_name = strong_type<std::string, struct instance_name_tag>;
/// Random id of one run of a daemon; a restarted instance has a new one.
using incarnation_id = strong_type<std::uint64_t, struct incarnation_id_tag>;
/// Number of a ticket epoch within one incarnation, counted from 1.
using epoch_number = strong_type<std::uint64_t, struct epoch_number_tag>;
/// Version of the configuration, counted from 1; 0 means that there is none.
using configuration_version = strong_type<std::uint64_t, struct configuration_version_tag>;
/// Number of a request within one daemon.
using request_id = strong_type<std::uint64_t, struct request_id_tag>;
/// Number of requests that an upstream processes at the same time.
using slot_count = strong_type<std::uint32_t, struct slot_count_tag>;
/// A share in hundredths.
using percent = strong_type<double, struct percent_tag>;
/// Bandwidth of a network link.
using megabits_per_second = strong_type<double, struct megabits_per_second_tag>;

} // namespace burdockstep
