/// Controls which fraction of a service's objects is served in other regions.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstdint>

namespace burdockstep {

/// Thresholds, speeds and limits of the spilled fraction.
struct spill_controller_options
{
    /// Time between two adjustments of the spilled fraction.
    duration step_interval = std::chrono::milliseconds(250);
    /// The spilled fraction grows if more than this fraction of the requests finds no free slot on
    /// arrival.
    double grow_above_no_slot_fraction = 0.08;
    /// The spilled fraction shrinks if less than this fraction of the requests finds no free slot
    /// on arrival.
    double shrink_below_no_slot_fraction = 0.02;
    /// Increase of the spilled fraction in one step. Eight steps add at most 0.2 in two seconds,
    /// the period for which the change of a region's outbound fraction is limited.
    double growth_per_step = 0.025;
    /// Decrease of the spilled fraction in one step.
    double shrinkage_per_step = 0.012;
    /// Upper limit of the spilled fraction.
    double max_spilled_fraction = 0.9;
    /// The spilled fraction may grow beyond the balanced one if more than this fraction of the
    /// other regions' slots is free.
    double grow_above_remote_free_fraction = 0.35;
    /// A spilled fraction above the balanced one shrinks if less than this fraction of the other
    /// regions' slots is free.
    double shrink_below_remote_free_fraction = 0.1;
    /// Time after `begin` within which the spilled fraction of another entry is adopted. Entries
    /// report it twice a second.
    duration adoption_window = std::chrono::milliseconds(1'500);
    /// Weight of the last interval in the moving average of requests that find no free slot.
    double smoothing_factor = 0.35;
};

/// Moves load out of a region that has too few slots while other regions have free ones. If all
/// regions are full, each serves a share of the load that matches its share of the slots: the
/// spilled fraction then approaches the balanced one. It changes slowly, and all requests for an
/// object move together, so that they reach upstreams that have handled it recently.
class spill_controller
{
public:
    explicit spill_controller(spill_controller_options options) : options_(options) {}

    /// Sets the spilled fraction at the first request, at once rather than step by step, because
    /// nothing was served anywhere before. Later calls do nothing.
    void begin(double balanced_fraction, time_point now);
    /// Adopts the spilled fraction of another entry of the same region, in case this entry started
    /// while others were already serving. Works once, and only within the adoption window after
    /// `begin`. Returns true if the fraction was adopted.
    bool adopt(double part, time_point now);
    /// True if `adopt` would adopt a fraction now.
    bool may_adopt(time_point now) const
    {
        return !adopted_ && (!begun_ || now - begun_at_ <= options_.adoption_window);
    }
    /// True once `begin` or `adopt` has set the fraction of objects that are served in other
    /// regions.
    bool has_begun() const { return begun_; }
    /// Counts a request, and whether it found a free slot in this region on arrival.
    void note(bool found_slot);
    /// True if `step` would adjust the spilled fraction now.
    bool is_step_due(time_point now) const { return now >= next_step_at_; }
    /// Adjusts the spilled fraction if a step is due. `remote_free_fraction` is the fraction of the
    /// other regions' slots that is free, `balanced_fraction` the fraction to spill if all regions
    /// are full.
    void step(time_point now, double remote_free_fraction, double balanced_fraction);
    /// True if an object is served in other regions; `unit_hash` is its hash, scaled to 0 to 1.
    bool leaves(double unit_hash) const { return unit_hash < spilled_fraction_; }
    /// The spilled fraction: the fraction of objects served in other regions, 0 to 1.
    double part() const { return spilled_fraction_; }

private:
    spill_controller_options options_;
    time_point next_step_at_;
    unsigned requests_ = 0;              ///< Since the last step.
    unsigned requests_without_slot_ = 0; ///< Since the last step; found no free slot on arrival.
    /// Moving average of the fraction of requests that found no free slot on arrival.
    double smoothed_no_slot_fraction_ = 0;
    double spilled_fraction_ = 0;
    bool begun_ = false;
    bool adopted_ = false; ///< True once another entry's spilled fraction was adopted.
    time_point begun_at_;
};

} // namespace burdockstep
