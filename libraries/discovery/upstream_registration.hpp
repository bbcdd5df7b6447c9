/// Registrations: the records that upstreams write of themselves in the platform's registry.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/core/store_position.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace burdockstep {

/// Whether an upstream accepts new requests, as it reports itself.
enum class upstream_state
{
    ready,
    draining
};

/// Record of one upstream in the registry. Each start of an upstream is a new incarnation.
struct upstream_registration
{
    upstream_name name;
    service_name service;
    address at;
    place_name place;
    slot_count slots;
    upstream_state state = upstream_state::ready;
    duration cold_left{};        ///< Remaining warm-up time when it wrote this record.
    std::int64_t heartbeat = 0;  ///< Increases with each write of the same incarnation.
    std::int64_t started_ms = 0; ///< Wall clock time of its start; 0 when not reported.

    upstream_incarnation incarnation() const { return upstream_incarnation(started_ms); }

    friend bool operator==(upstream_registration const&, upstream_registration const&) = default;
};

/// A change of one registration: its new content, or none when the registration was removed or
/// can't be read. In both cases there is nothing to use, though the upstream itself may still be
/// running.
struct registration_change
{
    upstream_name name;
    std::optional<upstream_registration> registration;
    store_position at; ///< At which the store made this change.
};

} // namespace burdockstep
