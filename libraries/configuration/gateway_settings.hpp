/// Settings file of one gateway: its location, its addresses, and its limits.
#pragma once

#include "libraries/configuration/finding.hpp"
#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/entry_capacity.hpp"
#include "libraries/core/ids.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstep {

/// Settings that a gateway reads at its start.
struct gateway_settings
{
    instance_name instance;
    place_name place;
    region_name region;
    address callers;   ///< HTTP listener for callers.
    address readiness; ///< HTTP listener for the platform's readiness checks.
    address lookups;   ///< HTTP listener for look-ups.
    address metrics;   ///< HTTP listener for metrics in text format.
    address peers;     ///< UDP socket for messages of other entries.
    address store;     ///< HTTP address of the platform's store.
    std::map<place_name, region_name> places; ///< Region of each place.
    duration lookup_lifetime{};               ///< How long callers may cache a look-up answer.
    duration stop_limit{};                    ///< Longest time from SIGTERM to the forced exit.
    duration drain_limit{};  ///< Time within which a leaving upstream must stop getting requests.
    double retry_ratio = 0;  ///< Retry budget: retries allowed per request, over all entries.
    double retry_slack = 0;  ///< Retry budget: retries allowed in addition to `retry_ratio`.
    duration retry_window{}; ///< Time over which the retry budget counts.
    /// Largest fraction of a region's requests that may move to other regions within two seconds.
    double max_region_shift_share = 0;
    /// Longest time for which a withdrawn key may still be acted on; zero: no limit.
    duration key_revocation_limit{};
    /// What the machine's processor and link can carry, told to the other entries.
    entry_capacity capacity;
    /// Memory that the process may use, in bytes. Half of it may be held for others, and a quarter
    /// by one incomplete answer.
    std::size_t memory_bytes = 0;
    /// Descriptors that the process may use; 0 for as many as the operating system allows.
    std::size_t max_descriptors = 0;

    friend bool operator==(gateway_settings const&, gateway_settings const&) = default;
};

/// Valid settings, or the errors found in them. Exactly one of the two is set.
struct gateway_settings_parse_result
{
    std::optional<gateway_settings> settings;
    std::vector<finding> findings;
};

/// Parses and validates the settings in `text`. `file` is only the name used in findings.
gateway_settings_parse_result read_gateway_settings(std::string const& file, std::string_view text);

} // namespace burdockstep
