#include "libraries/discovery/confirmation_sources.hpp"

#include "libraries/core/digest.hpp"
#include "libraries/discovery/registry_update.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

/// Up to this many entries ask the readers directly.
constexpr std::size_t max_entries_without_relays = 64;
/// One entry in this many relays.
constexpr std::uint64_t entries_per_relay = 24;
constexpr std::uint64_t relay_hash_seed = 0x7e1a;

std::uint64_t hash_of_pair(instance_name const& asking, instance_name const& asked)
{
    return hash_of(asked.get(), hash_of(asking.get()));
}

bool is_relay(instance_name const& name)
{
    return hash_of(name.get(), relay_hash_seed) % entries_per_relay == 0;
}

/// The relay of `self`: one of its own region if there is one, spread by hash. Null if none.
member_view const* relay_of(listed_member const& self, std::vector<member_view const*> const& live)
{
    member_view const* best = nullptr;
    bool best_is_regional = false;
    std::uint64_t best_hash = 0;
    for (member_view const* const each : live) {
        if (!is_relay(each->listed.instance))
            continue;
        bool const is_regional = each->listed.region == self.region;
        std::uint64_t const hash = hash_of_pair(self.instance, each->listed.instance);
        bool const is_better = best == nullptr || (is_regional && !best_is_regional) ||
                               (is_regional == best_is_regional && hash > best_hash);
        if (!is_better)
            continue;
        best = each;
        best_is_regional = is_regional;
        best_hash = hash;
    }
    return best;
}

} // namespace

confirmation_sources choose_confirmation_sources(listed_member const& self,
                                                 std::vector<member_view> const& members)
{
    confirmation_sources sources;
    std::vector<instance_name> const readers = registry_readers(self.instance, members);
    std::vector<member_view const*> live;
    std::vector<member_view const*> live_readers;
    for (member_view const& each : members) {
        if (each.listed.instance == self.instance)
            continue;
        bool const was_heard = each.incarnation.get() != 0 && !each.listed.leaving;
        if (was_heard && !each.is_reachable())
            sources.lost.push_back(each.listed.peers);
        if (!each.is_running())
            continue;
        live.push_back(&each);
        sources.others.push_back(each.listed.peers);
        if (std::find(readers.begin(), readers.end(), each.listed.instance) != readers.end())
            live_readers.push_back(&each);
    }
    bool const has_relay = live.size() > max_entries_without_relays && !is_relay(self.instance);
    if (member_view const* const relay = has_relay ? relay_of(self, live) : nullptr)
        sources.preferred.push_back(relay->listed.peers);
    auto const order = [&](member_view const* reader) {
        return std::pair(reader->listed.region != self.region,
                         hash_of_pair(self.instance, reader->listed.instance));
    };
    std::sort(live_readers.begin(), live_readers.end(),
              [&](auto const* left, auto const* right) { return order(left) < order(right); });
    for (member_view const* const each : live_readers)
        sources.preferred.push_back(each->listed.peers);
    return sources;
}

} // namespace burdockstep
