/// Settings of one gateway: where it stands, its addresses, and the bounds that it keeps.
#pragma once

#include "libraries/configuration/finding.hpp"
#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstep {

/// What a gateway learns at its start.
struct gateway_settings
{
    instance_name instance;
    place_name place;
    region_name region;
    address callers;   ///< HTTP of callers.
    address readiness; ///< HTTP of the platform's readiness checks.
    address lookups;   ///< HTTP of look-ups.
    address metrics;   ///< HTTP of counters, as text.
    address peers;     ///< UDP of other entries.
    address store;     ///< HTTP of the platform's store.
    std::map<place_name, region_name> places;
    duration lookup_lifetime{}; ///< How long callers may cache a look-up.
    duration stop_limit{};      ///< From SIGTERM to the forced end.
    duration drain_limit{};     ///< In which a leaving upstream must get no more requests.
    double retry_ratio = 0;     ///< Further sends for each request, over all entries.
    double retry_slack = 0;     ///< Further sends besides.
    duration retry_window{};
    double max_region_shift_share =
        0; ///< Part of a region's requests that may change region in two seconds.

    friend bool operator==(gateway_settings const&, gateway_settings const&) = default;
};

/// Checked settings, or what is wrong with them. Exactly one of the two is filled.
struct gateway_settings_parse_result
{
    std::optional<gateway_settings> settings;
    std::vector<finding> findings;
};

/// Reads settings. `file` is named in the findings; no file is opened.
gateway_settings_parse_result read_gateway_settings(std::string const& file, std::string_view text);

} // namespace burdockstep
