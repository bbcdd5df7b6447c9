/// Settings of one daemon: where it stands, its addresses, and whom to ask.
#pragma once

#include "libraries/configuration/finding.hpp"
#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace burdockstep {

/// What a daemon learns at its start.
struct daemon_settings
{
    instance_name instance;
    place_name place;
    region_name region;
    address callers;   ///< HTTP for callers. Port 0 lets the system pick.
    address operators; ///< HTTP for operators. Port 0 lets the system pick.
    address peers;     ///< UDP and TCP for peers. Port 0 lets the system pick.
    address platform;  ///< HTTP of the platform's table service, object store, instance list.
    std::vector<address> seeds; ///< Peers to ask while the platform is down.
    duration lookup_lifetime{}; ///< How long callers may cache a look-up answer.
    duration drain_limit{};     ///< Longest time that a stop waits for work in flight.
};

/// Checked settings, or what is wrong with them. Exactly one of the two is filled.
struct daemon_settings_parse_result
{
    std::optional<daemon_settings> settings;
    std::vector<finding> findings;
};

/// Reads settings. `file` is named in the findings; no file is opened.
daemon_settings_parse_result read_daemon_settings(std::string const& file, std::string_view text);

} // namespace burdockstep
