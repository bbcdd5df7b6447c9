/// Which part of a service's objects is served in other regions.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstdint>

namespace burdockstep {

/// Bounds of the part and of its speed.
struct spill_options
{
    /// Time between two steps of the part.
    duration step_interval = std::chrono::milliseconds(250);
    /// Part of the requests that find no slot at once above which more objects leave.
    double high_pressure = 0.08;
    /// And below which they return.
    double low_pressure = 0.02;
    /// Of one step. Eight steps stay under the bound on a region's change in two seconds.
    double step_up = 0.025;
    double step_down = 0.012;
    double most = 0.9;
    /// Free part of the other regions' slots above which objects may go there, and below which they
    /// return.
    double ample_room = 0.35;
    double short_room = 0.1;
    /// Another entry's part is taken until so long after the begin: they tell it twice a second.
    duration adopted_within = std::chrono::milliseconds(1'500);
    /// Weight of the last interval in the pressure.
    double memory = 0.35;
};

/// Answers the load of a region with too few slots while others have room, and of regions that are
/// all full: then each serves what its slots are of all, by the planned part. The part moves slowly
/// and whole objects move with it, so that they are remembered where they are served.
class spill_part
{
public:
    explicit spill_part(spill_options options) : options_(options) {}

    /// Sets the part at the first request: nothing was served anywhere before. Later calls do
    /// nothing.
    void begin(double planned, time_point now);
    /// Takes the part of another entry of the region, once, and only shortly after the begin: this
    /// entry has started while others served. Returns true when it was taken.
    bool adopt(double part, time_point now);
    bool has_begun() const { return begun_; }
    /// Counts a request that found a slot in this region at once, or didn't.
    void note(bool found_slot);
    /// True when `step` would move the part.
    bool is_due(time_point now) const { return now >= next_step_; }
    /// Moves the part when its time has come. `far_room` is the free part of the slots elsewhere,
    /// `planned` the part that is fair when all regions are full.
    void step(time_point now, double far_room, double planned);
    /// True when an object with this hash, 0 to 1, is served elsewhere.
    bool leaves(double unit_hash) const { return unit_hash < part_; }
    double part() const { return part_; }

private:
    spill_options options_;
    time_point next_step_;
    unsigned requests_ = 0;
    unsigned without_slot_ = 0;
    double pressure_ = 0;
    double part_ = 0;
    bool begun_ = false;
    bool adopted_ = false;
    time_point begun_at_;
};

} // namespace burdockstep
