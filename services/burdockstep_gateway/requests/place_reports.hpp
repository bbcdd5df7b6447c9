/// Exchanges slot counts with other places through one relay of each place.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/dispatch/place_relay.hpp"
#include "libraries/dispatch/place_slot_sums.hpp"
#include "libraries/dispatch/report_delays.hpp"

#include <functional>

namespace burdockstep::gateway {

/// Part of the requests task. It sums the place's counts while this entry is the relay, and filters
/// the reports of other places.
class place_reports
{
public:
    using counts = place_slot_sums::counts;
    using spill_fractions = std::vector<wire::service_spill_fraction>;

    /// `own_counts` returns all counts of this entry that aren't zero.
    place_reports(gateway_context& context, std::function<counts()> own_counts);

    /// Takes over the membership's view, and the delays that follow from it.
    void update_members(std::vector<member_view> const& members, report_delays const& delays);
    /// Whether the entries of this region report only to their own place.
    bool uses_relays() const { return plan_.uses_relays; }
    /// The audience of this entry's own reports within its region.
    report_audience own_audience() const
    {
        return uses_relays() ? report_audience::own_place : report_audience::own_region;
    }
    /// Sends all sums if this entry is the relay. Called twice a second.
    void send_all(spill_fractions const& fractions);
    /// Returns true if a single entry's report is to be applied.
    bool accept(wire::slot_report const& report);
    /// Returns true if the sums of another place are to be applied.
    bool accept(wire::place_slot_report const& report);
    void write_metrics(std::string& out) const;

private:
    void send_changes(place_slot_sums::audience& receivers, report_audience audience);
    void send(counts const& changed, bool is_full, report_audience audience,
              spill_fractions const& fractions);

    gateway_context& context_;
    std::function<counts()> own_counts_;
    report_delays delays_;
    place_relay_plan plan_;
    place_report_filter filter_;
    place_slot_sums sums_;
    place_slot_sums::audience other_places_;
    place_slot_sums::audience other_regions_;
    timer other_places_timer_;
    timer other_regions_timer_;
    std::uint64_t last_report_number_ = 0;
    std::uint64_t dropped_reports_ = 0;
};

} // namespace burdockstep::gateway
