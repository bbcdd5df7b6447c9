/// Settings file of one daemon: its location, its addresses, the platform and the seed peers.
#pragma once

#include "libraries/configuration/finding.hpp"
#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace burdockstep {

/// Settings that a daemon reads at its start.
struct daemon_settings
{
    instance_name instance;
    place_name place;
    region_name region;
    address callers;   ///< HTTP listener for callers. Port 0 picks a free port.
    address operators; ///< HTTP listener for operators. Port 0 picks a free port.
    address peers;     ///< UDP and TCP sockets for peers. Port 0 picks a free port.
    address platform;  ///< HTTP of the platform's table service, object store and instance list.
    std::vector<address> seeds; ///< Peers to contact while the platform is unreachable.
    duration lookup_lifetime{}; ///< How long callers may cache a look-up answer.
    duration drain_limit{};     ///< Longest time that a stop waits for requests in progress.
    /// Memory that the process may use, in bytes. Half of it may be held for callers, and an eighth
    /// for operators.
    std::size_t memory_bytes = 0;
};

/// Valid settings, or the errors found in them. Exactly one of the two is set.
struct daemon_settings_parse_result
{
    std::optional<daemon_settings> settings;
    std::vector<finding> findings;
};

/// Parses and validates the settings in `text`. `file` is only the name used in findings.
daemon_settings_parse_result read_daemon_settings(std::string const& file, std::string_view text);

} // namespace burdockstep
