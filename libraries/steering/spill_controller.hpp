/// Which part of a service's objects is served in other regions.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstdint>

namespace burdockstep {

/// Bounds of the part and of its speed.
struct spill_controller_options
{
    /// Time between two steps of the part.
    duration step_interval = std::chrono::milliseconds(250);
    /// Part of the requests that find no slot at once above which more objects leave.
    double grow_above_no_slot_fraction = 0.08;
    /// And below which they return.
    double shrink_below_no_slot_fraction = 0.02;
    /// Of one step. Eight steps stay under the bound on a region's change in two seconds.
    double growth_per_step = 0.025;
    double shrinkage_per_step = 0.012;
    double max_spilled_fraction = 0.9;
    /// Free part of the other regions' slots above which objects may go there, and below which they
    /// return.
    double grow_above_remote_free_fraction = 0.35;
    double shrink_below_remote_free_fraction = 0.1;
    /// Another entry's part is taken until so long after the begin: they tell it twice a second.
    duration adoption_window = std::chrono::milliseconds(1'500);
    /// Weight of the last interval in the pressure.
    double smoothing_factor = 0.35;
};

/// Answers the load of a region with too few slots while others have room, and of regions that are
/// all full: then each serves what its slots are of all, by the planned part. The part moves slowly
/// and whole objects move with it, so that they are remembered where they are served.
class spill_controller
{
public:
    explicit spill_controller(spill_controller_options options) : options_(options) {}

    /// Sets the part at the first request: nothing was served anywhere before. Later calls do
    /// nothing.
    void begin(double balanced_fraction, time_point now);
    /// Takes the part of another entry of the region, once, and only shortly after the begin: this
    /// entry has started while others served. Returns true when it was taken.
    bool adopt(double part, time_point now);
    bool has_begun() const { return begun_; }
    /// Counts a request that found a slot in this region at once, or didn't.
    void note(bool found_slot);
    /// True when `step` would move the part.
    bool is_step_due(time_point now) const { return now >= next_step_at_; }
    /// Moves the part when its time has come. `remote_free_fraction` is the free part of the slots
    /// elsewhere, `balanced_fraction` the part that is fair when all regions are full.
    void step(time_point now, double remote_free_fraction, double balanced_fraction);
    /// True when an object with this hash, 0 to 1, is served elsewhere.
    bool leaves(double unit_hash) const { return unit_hash < spilled_fraction_; }
    double part() const { return spilled_fraction_; }

private:
    spill_controller_options options_;
    time_point next_step_at_;
    unsigned requests_ = 0;
    unsigned requests_without_slot_ = 0;
    double smoothed_no_slot_fraction_ = 0;
    double spilled_fraction_ = 0;
    bool begun_ = false;
    bool adopted_ = false;
    time_point begun_at_;
};

} // namespace burdockstep
