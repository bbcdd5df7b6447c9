#include "libraries/dispatch/place_relay.hpp"

#include "libraries/core/digest.hpp"

#include <tuple>

namespace burdockstep {

namespace {

constexpr std::uint64_t relay_hash_seed = 0x706c'6163'6572'656c;
/// After a longer silence of a place's relay, the reports of the place's single entries are applied
/// again. Relays report in full twice a second.
constexpr duration relay_lifetime = std::chrono::milliseconds(1'600);
/// After a longer silence of a relay, so that a full report is missing, another relay's changes are
/// applied.
constexpr duration full_report_timeout = std::chrono::milliseconds(700);

bool is_live(member_view const& member, instance_name const& self)
{
    return member.listed.instance == self || (member.is_reachable() && !member.listed.leaving);
}

auto relay_rank(member_view const& member)
{
    return std::make_tuple(member.listed.capacity.core_thousandths,
                           hash_of(member.listed.instance.get(), relay_hash_seed),
                           member.listed.instance);
}

} // namespace

place_relay_plan plan_place_relay(instance_name const& self, place_name const& place,
                                  region_name const& region,
                                  std::vector<member_view> const& members)
{
    place_relay_plan plan;
    std::size_t region_entries = 0;
    member_view const* relay = nullptr;
    for (member_view const& each : members) {
        if (!is_live(each, self))
            continue;
        region_entries += each.listed.region == region ? 1 : 0;
        if (each.listed.place != place)
            continue;
        if (each.listed.instance != self)
            plan.place_entries.insert(each.listed.instance);
        if (each.is_running() && (relay == nullptr || relay_rank(each) > relay_rank(*relay)))
            relay = &each;
    }
    // Without a running entry, as in a place whose last entry stops, each one reports itself.
    plan.uses_relays = region_entries >= min_region_entries_for_relays && relay != nullptr;
    plan.is_relay = plan.uses_relays && relay->listed.instance == self;
    return plan;
}

void place_report_filter::update_members(std::vector<member_view> const& members,
                                         place_name const& own_place)
{
    places_.clear();
    for (member_view const& each : members) {
        if (each.listed.place != own_place)
            places_.emplace(each.listed.instance, each.listed.place);
    }
}

bool place_report_filter::accept_sums(wire::place_slot_report const& report, time_point now)
{
    known_relay& relay = relays_[place_name(report.place.get())];
    bool const is_known = relay.incarnation == report.sums.incarnation;
    bool const may_replace =
        report.sums.is_full_report || now - relay.heard_at > full_report_timeout;
    if (!is_known && !may_replace)
        return false;
    relay = {.incarnation = report.sums.incarnation, .heard_at = now};
    return true;
}

bool place_report_filter::accept_report(wire::slot_report const& report, time_point now) const
{
    auto const place = places_.find(instance_name(report.instance.get()));
    if (place == places_.end())
        return true;
    auto const relay = relays_.find(place->second);
    return relay == relays_.end() || now - relay->second.heard_at > relay_lifetime;
}

instance_name counts_name_of(place_name const& place)
{
    return instance_name("place/" + place.get());
}

} // namespace burdockstep
