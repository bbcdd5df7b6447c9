#include "services/burdockstep_gateway/requests/place_reports.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstep::gateway {

namespace {

constexpr duration place_report_lifetime = std::chrono::milliseconds(1'600);

} // namespace

place_reports::place_reports(gateway_context& context, std::function<counts()> own_counts)
    : context_(context), own_counts_(std::move(own_counts)), other_places_timer_(context.loop),
      other_regions_timer_(context.loop)
{}

void place_reports::update_members(std::vector<member_view> const& members,
                                   report_delays const& delays)
{
    gateway_settings const& settings = context_.settings;
    bool const was_relay = plan_.is_relay;
    bool const same_delays = std::exchange(delays_, delays) == delays;
    plan_ = plan_place_relay(settings.instance, settings.place, settings.region, members);
    filter_.update_members(members, settings.place);
    if (was_relay == plan_.is_relay && same_delays)
        return;
    other_places_timer_.stop();
    other_regions_timer_.stop();
    if (!plan_.is_relay)
        return;
    other_places_timer_.start_periodic(delays.other_places_delay, [this] {
        send_changes(other_places_, report_audience::other_places_of_region);
    });
    other_regions_timer_.start_periodic(delays.other_regions_delay, [this] {
        send_changes(other_regions_, report_audience::other_regions);
    });
}

void place_reports::send_changes(place_slot_sums::audience& receivers, report_audience audience)
{
    send(sums_.changes_for(receivers, own_counts_()), false, audience, {});
}

void place_reports::send_all(spill_fractions const& fractions)
{
    if (!plan_.is_relay)
        return;
    sums_.expire(context_.clock.now(), place_report_lifetime);
    send(sums_.all_for(other_places_, own_counts_()), true, report_audience::other_places_of_region,
         fractions);
    send(sums_.all_for(other_regions_, own_counts_()), true, report_audience::other_regions, {});
}

void place_reports::send(counts const& changed, bool is_full, report_audience audience,
                         spill_fractions const& fractions)
{
    constexpr std::size_t max_counts = decltype(wire::slot_report::counts)::max_elements;
    bool const is_complete = is_full && changed.size() <= max_counts;
    auto first = changed.begin();
    while (first != changed.end() || is_complete) {
        auto const left = static_cast<std::size_t>(changed.end() - first);
        auto const last = first + static_cast<std::ptrdiff_t>(std::min(left, max_counts));
        wire::place_slot_report report{
            .place = wire::name_text(context_.settings.place.get()),
            .sums = {.instance = wire::name_text(context_.settings.instance.get()),
                     .incarnation = context_.run.incarnation.get(),
                     .number = ++last_report_number_,
                     .is_full_report = is_complete,
                     .counts = decltype(wire::slot_report::counts)(counts(first, last))}};
        for (wire::service_spill_fraction const& each : fractions) {
            if (!report.sums.spilled_fractions.is_full())
                report.sums.spilled_fractions.add(each);
        }
        context_.post(place_report_ready{.report = std::move(report), .audience = audience});
        first = last;
        if (is_complete)
            return;
    }
}

bool place_reports::accept(wire::slot_report const& report)
{
    time_point const now = context_.clock.now();
    if (plan_.place_entries.contains(instance_name(report.instance.get())))
        sums_.apply_report(report, now);
    bool const is_accepted = filter_.accept_report(report, now);
    dropped_reports_ += is_accepted ? 0 : 1;
    return is_accepted;
}

bool place_reports::accept(wire::place_slot_report const& report)
{
    bool const is_accepted = filter_.accept_sums(report, context_.clock.now());
    dropped_reports_ += is_accepted ? 0 : 1;
    return is_accepted;
}

void place_reports::write_metrics(std::string& out) const
{
    fmt::format_to(std::back_inserter(out),
                   "burdockstep_is_place_relay {}\nburdockstep_slot_reports_dropped_total {}\n",
                   plan_.is_relay ? 1 : 0, dropped_reports_);
}

} // namespace burdockstep::gateway
