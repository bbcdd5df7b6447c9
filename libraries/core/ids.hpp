/// Identifiers and units that all parts share.
#pragma once

#include "libraries/core/strong_type.hpp"

#include <cstdint>
#include <string>

namespace burdockstep {

/// Name of a region, such as "morbihan".
using region_name = strong_type<std::string, struct region_name_tag>;
/// Name of a place: a failure domain within a region.
using place_name = strong_type<std::string, struct place_name_tag>;
/// Name of a service that upstreams answer.
using service_name = strong_type<std::string, struct service_name_tag>;
/// Name of one upstream, unique in a deployment.
using upstream_name = strong_type<std::string, struct upstream_name_tag>;
/// Name of an entry instance, as the platform's list gives it. It outlives a restart.
using instance_name = strong_type<std::string, struct instance_name_tag>;
/// Random id of one run of a daemon: a restarted instance has another.
using incarnation_id = strong_type<std::uint64_t, struct incarnation_id_tag>;
/// Number of a ticket epoch of one incarnation, from 1.
using epoch_number = strong_type<std::uint64_t, struct epoch_number_tag>;
/// Version of the configuration, from 1; 0 means none.
using configuration_version = strong_type<std::uint64_t, struct configuration_version_tag>;
/// Number of a request within one daemon.
using request_id = strong_type<std::uint64_t, struct request_id_tag>;
/// Slots of an upstream: requests it works on at a time.
using slot_count = strong_type<std::uint32_t, struct slot_count_tag>;
/// A part of a whole, in hundredths.
using percent = strong_type<double, struct percent_tag>;
/// Rate of a link in megabits a second.
using megabits_per_second = strong_type<double, struct megabits_per_second_tag>;

} // namespace burdockstep
