/// The places that the operators have evacuated.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/core/store_position.hpp"

#include <map>
#include <set>
#include <vector>

namespace burdockstep {

/// Keeps the set of evacuated places. When the store returns from an older copy, an evacuation that
/// the copy lacks stays in force for a time, in which the operators' writes arrive again.
class evacuations
{
public:
    /// How long an evacuation that a restored copy lacks stays in force.
    static constexpr duration rewrite_grace = std::chrono::milliseconds(5'000);

    /// Applies all evacuations, as read from the store in `era`.
    void apply_all(std::vector<place_name> const& evacuated, store_era era, time_point now);
    void apply_changes(std::vector<place_name> const& evacuated,
                       std::vector<place_name> const& lifted);
    /// Gives the evacuations that the store lacks the whole grace again: call it while the store
    /// can't be read, as they may have been written again.
    void restart_grace(time_point now);
    /// Lifts the evacuations that weren't written again in time.
    void expire(time_point now);

    std::set<place_name> places() const;
    /// Returns true while evacuations are kept that the store doesn't have.
    bool has_unconfirmed() const { return !unconfirmed_.empty(); }

private:
    std::set<place_name> confirmed_;
    std::map<place_name, time_point> unconfirmed_; ///< With the time at which each is lifted.
    store_era era_;
};

} // namespace burdockstep
