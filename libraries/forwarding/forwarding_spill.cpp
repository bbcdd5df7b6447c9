// Forwarding engine: the objects that other regions serve.
#include "libraries/forwarding/forwarding_engine.hpp"

#include "libraries/core/digest.hpp"
#include "libraries/dispatch/affinity_hash.hpp"
#include "libraries/forwarding/slot_totals.hpp"
#include "libraries/steering/balanced_spill_fraction.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// Hash seed for the order in which objects are spilled. It makes this order independent of the
/// assignment of objects to upstreams.
constexpr std::uint32_t spill_hash_seed = 1;

/// The key by which entries name a service in their slot reports.
std::uint32_t service_key(service_name const& service)
{
    return static_cast<std::uint32_t>(hash_of(service.get()));
}

} // namespace

bool forwarding_engine::is_spilled(pending_request const& request) const
{
    // Downloads stay in the region, because they would saturate the links between regions.
    if (request.matched_route->kind == request_kind::download || request.arrival.object == 0)
        return false;
    double const hash_position =
        affinity_hash(request.arrival.object, upstream_key(spill_hash_seed));
    return pools_.at(request.service).spill.leaves(hash_position);
}

double forwarding_engine::free_slot_fraction(service_name const& service, bool in_region,
                                             time_point now) const
{
    slot_totals sum;
    for (upstream_tracker const* const each : pools_.at(service).upstreams) {
        if (each->is_eligible(now) &&
            (each->proximity() != upstream_proximity::other_region) == in_region)
            sum.add(*each, peer_counts_, now);
    }
    return sum.free_slot_fraction();
}

double forwarding_engine::planned_spill_fraction(service_pool const& pool, time_point now) const
{
    region_capacity weight{.region_entries = static_cast<double>(own_region_entries_.size()),
                           .total_entries = static_cast<double>(entries_.size())};
    for (upstream_tracker const* const each : pool.upstreams) {
        if (!each->is_eligible(now))
            continue;
        weight.total_slots += each->slots();
        weight.region_slots +=
            each->proximity() == upstream_proximity::other_region ? 0 : each->slots();
    }
    return balanced_spill_fraction(weight);
}

void forwarding_engine::begin_spill(service_pool& pool, time_point now)
{
    if (pool.spill.has_begun() || pool.upstreams.empty())
        return;
    if (!first_arrival_)
        first_arrival_ = now;
    if (entries_.size() <= 1) {
        // The region's share can't be computed before the other entries are known.
        if (now - *first_arrival_ > options_.entry_discovery_timeout)
            pool.spill.begin(0, now);
        return;
    }
    bool const is_first = std::none_of(pools_.begin(), pools_.end(), [](auto const& each) {
        return each.second.spill.has_begun();
    });
    pool.spill.begin(planned_spill_fraction(pool, now), now);
    if (is_first)
        region_share_.begin(pool.spill.part(), now);
}

std::vector<wire::service_spill_fraction> forwarding_engine::spill_fractions() const
{
    std::vector<wire::service_spill_fraction> spilled_fractions;
    for (auto const& [service, pool] : pools_) {
        if (!pool.spill.has_begun())
            continue;
        spilled_fractions.push_back(
            {.service = service_key(service),
             .thousandths = static_cast<std::uint16_t>(pool.spill.part() * 1'000)});
    }
    return spilled_fractions;
}

void forwarding_engine::adopt_spill_fractions(wire::slot_report const& report, time_point now)
{
    bool const may_adopt = std::any_of(pools_.begin(), pools_.end(), [&](auto const& each) {
        return each.second.spill.may_adopt(now);
    });
    if (!may_adopt || report.spilled_fractions.get().empty())
        return;
    auto const sender = entries_.find(instance_name(report.instance.get()));
    if (sender == entries_.end() || sender->second != options_.region)
        return;
    for (wire::service_spill_fraction const& each : report.spilled_fractions.get()) {
        for (auto& [service, pool] : pools_) {
            double const part = each.thousandths / 1'000.0;
            if (service_key(service) == each.service && pool.spill.adopt(part, now))
                region_share_.begin(part, now);
        }
    }
}

} // namespace burdockstep
