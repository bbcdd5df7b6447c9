/// What an upstream says of itself in the platform's registry.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace burdockstep {

/// Whether an upstream takes requests by its own word.
enum class upstream_state
{
    ready,
    draining
};

/// One entry of the registry. Each start of an upstream is a new incarnation.
struct upstream_registration
{
    upstream_name name;
    service_name service;
    address at;
    place_name place;
    slot_count slots;
    upstream_state state = upstream_state::ready;
    duration cold_left{};        ///< How much longer it is cold, when it wrote this.
    std::int64_t heartbeat = 0;  ///< Grows with each write of one incarnation.
    std::int64_t started_ms = 0; ///< Wall clock of its start; 0 where it isn't told.

    friend bool operator==(upstream_registration const&, upstream_registration const&) = default;
};

/// A change of one entry: its new content, or its removal. An entry that can't be read names no
/// upstream to use, which is a removal without evidence that the upstream has gone.
struct registration_change
{
    upstream_name name;
    std::optional<upstream_registration> registration;
};

} // namespace burdockstep
