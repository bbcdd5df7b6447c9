/// The order of the writes and removals of one upstream's registration.
#pragma once

#include "libraries/core/store_position.hpp"
#include "libraries/discovery/upstream_registration.hpp"

#include <cstdint>
#include <optional>

namespace burdockstep {

/// Identifies one write of a registration. The store may perform a write late, and an older copy
/// of it brings old writes back, so the order of writes is that of their content: by start, then by
/// heartbeat. The position only orders writes of the same content.
struct registration_write
{
    /// How often a start with an earlier time has replaced a later one, because the clock of the
    /// upstream's machine had stepped back.
    std::uint32_t start_revision = 0;
    std::int64_t started_ms = 0; ///< 0 when not reported.
    std::int64_t heartbeat = 0;
    store_position position;

    friend bool operator==(registration_write const&, registration_write const&) = default;
};

/// Returns true if `received` is a newer write than `known`. Of two writes of the same content the
/// one in the older history of the store counts, since an older copy only repeats it; within one
/// history the later one counts. Writes without a start time are ordered by their positions, and
/// in another history by their heartbeats.
bool is_newer_write(registration_write const& received, registration_write const& known);

/// The newest write and the newest removal of one upstream's registration that an entry knows.
/// Merging is commutative, associative and idempotent where upstreams report their starts, so
/// entries that have been told the same, in any order and any number of times, agree on whether the
/// upstream is registered.
class upstream_history
{
public:
    /// Returns false, and changes nothing, if the write isn't newer than the known one.
    bool merge_write(registration_write const& received);
    /// Notes that the store had no registration at this position.
    void merge_removal(store_position at);

    /// False when nothing but a removal is known.
    bool has_write() const { return newest_write_.has_value(); }
    registration_write const& newest_write() const { return *newest_write_; }
    std::optional<store_position> const& removed_at() const { return removed_at_; }
    /// Returns true if no removal came after the newest write. A write that is performed after the
    /// removal, but isn't newer than one before it, doesn't count.
    bool is_registered() const;

private:
    std::optional<registration_write> newest_write_;
    std::optional<store_position> removed_at_;
};

/// What one entry tells another of an upstream's registration.
struct upstream_record
{
    /// The content of the newest write. When the upstream isn't registered, only its name, start
    /// and heartbeat are set.
    upstream_registration registration;
    std::uint32_t start_revision = 0;
    store_position written_at;
    std::optional<store_position> removed_at;

    registration_write write() const
    {
        return {.start_revision = start_revision,
                .started_ms = registration.started_ms,
                .heartbeat = registration.heartbeat,
                .position = written_at};
    }
    bool is_registered() const { return !removed_at || written_at > *removed_at; }

    friend bool operator==(upstream_record const&, upstream_record const&) = default;
};

} // namespace burdockstep
