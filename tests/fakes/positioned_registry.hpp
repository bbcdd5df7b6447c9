/// A registry of upstreams for tests in which the store's positions follow from the order of calls.
#pragma once

#include "libraries/discovery/upstream_registry.hpp"

#include <vector>

namespace burdockstep::testing {

/// Gives each change the next version of the store's present era.
class positioned_registry : public upstream_registry
{
public:
    using upstream_registry::upstream_registry;

    void apply_snapshot(std::vector<registration_change> snapshot, time_point now,
                        store_era era = {})
    {
        era_ = era;
        assign_positions(snapshot);
        upstream_registry::apply_snapshot(snapshot, now, next_position());
    }

    void apply_changes(std::vector<registration_change> changes, time_point now)
    {
        assign_positions(changes);
        upstream_registry::apply_changes(changes, now);
    }

private:
    store_position next_position() { return {.era = era_, .version = store_version(++version_)}; }

    void assign_positions(std::vector<registration_change>& changes)
    {
        for (registration_change& each : changes)
            each.at = next_position();
    }

    store_era era_;
    std::uint64_t version_ = 0;
};

} // namespace burdockstep::testing
