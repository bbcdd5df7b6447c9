#include "libraries/discovery/registry_news.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace burdockstep {

namespace {

/// Keeps this order apart from the other orders that are made of names' hashes.
constexpr std::uint64_t reader_seed = 0x7265616465720001;
/// Pieces of one piece of news: more would cost more datagrams than reading by all costs calls.
constexpr std::size_t most_pieces = 8;
/// News of which pieces are missing: those of two readers, and an earlier one of each.
constexpr std::size_t most_partials = 4;

wire::told_registration to_wire(registration_change const& change)
{
    wire::told_registration told;
    told.name = wire::name_text(change.name.get());
    told.state = wire::registration_state::gone;
    if (!change.registration)
        return told;
    upstream_registration const& registration = *change.registration;
    told.service = wire::name_text(registration.service.get());
    told.place = wire::name_text(registration.place.get());
    told.at = registration.at;
    told.slots = registration.slots.get();
    told.state = registration.state == upstream_state::ready ? wire::registration_state::ready
                                                             : wire::registration_state::draining;
    told.cold_left_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(registration.cold_left).count());
    told.heartbeat = registration.heartbeat;
    told.started_ms = registration.started_ms;
    return told;
}

registration_change from_wire(wire::told_registration const& told)
{
    registration_change change{.name = upstream_name(told.name.get()), .registration = {}};
    if (told.state == wire::registration_state::gone)
        return change;
    upstream_registration registration;
    registration.name = change.name;
    registration.service = service_name(told.service.get());
    registration.at = told.at;
    registration.place = place_name(told.place.get());
    registration.slots = slot_count(told.slots);
    registration.state = told.state == wire::registration_state::ready ? upstream_state::ready
                                                                       : upstream_state::draining;
    registration.cold_left = std::chrono::milliseconds(told.cold_left_ms);
    registration.heartbeat = told.heartbeat;
    registration.started_ms = told.started_ms;
    change.registration = registration;
    return change;
}

} // namespace

bool reads_for_others(instance_name const& self, std::vector<member_view> const& members)
{
    std::vector<member_view const*> live;
    for (member_view const& each : members) {
        if (each.listed.instance == self || each.is_serving())
            live.push_back(&each);
    }
    std::sort(live.begin(), live.end(), [](member_view const* left, member_view const* right) {
        return hash_of(left->listed.instance.get(), reader_seed) >
               hash_of(right->listed.instance.get(), reader_seed);
    });
    if (live.size() <= 2 || live.front()->listed.instance == self)
        return true;
    auto const second = std::find_if(live.begin() + 1, live.end(), [&](member_view const* each) {
        return each->listed.place != live.front()->listed.place;
    });
    member_view const& reader = second == live.end() ? *live[1] : **second;
    return reader.listed.instance == self;
}

std::vector<registration_change> worth_telling(upstream_registry const& registry,
                                               std::vector<registration_change> const& changes)
{
    std::map<upstream_name, registration_change const*> last;
    for (registration_change const& each : changes)
        last[each.name] = &each;
    std::vector<registration_change> told;
    for (auto const& [name, change] : last) {
        if (registry.is_news(*change))
            told.push_back(*change);
    }
    return told;
}

std::vector<registration_change> differences(upstream_registry const& registry,
                                             std::vector<registration_change> const& all)
{
    std::vector<registration_change> changes = worth_telling(registry, all);
    std::set<upstream_name> present;
    for (registration_change const& each : all)
        present.insert(each.name);
    for (auto const& [name, known] : registry.upstreams()) {
        if (!known.removed && !present.contains(name))
            changes.push_back({.name = name, .registration = {}});
    }
    return changes;
}

std::vector<wire::registry_news> make_news(std::uint64_t after, std::uint64_t version,
                                           std::vector<registration_change> const& changes)
{
    wire::registry_news const empty{.after = after, .version = version, .changes = {}};
    std::vector<wire::registry_news> pieces{empty};
    for (registration_change const& each : changes) {
        if (pieces.back().changes.is_full())
            pieces.push_back(empty);
        pieces.back().changes.add(to_wire(each));
    }
    if (pieces.size() > most_pieces) {
        pieces = {empty};
        pieces.front().complete = false;
    }
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        pieces[i].piece = static_cast<std::uint8_t>(i);
        pieces[i].pieces = static_cast<std::uint8_t>(pieces.size());
    }
    return pieces;
}

std::optional<told_changes> news_assembler::take(wire::registry_news const& piece)
{
    versions const key{piece.after, piece.version};
    partial& known = partials_[key];
    known.last_used = ++uses_;
    std::vector<registration_change>& own = known.pieces[piece.piece];
    own.clear();
    for (wire::told_registration const& each : piece.changes.get())
        own.push_back(from_wire(each));
    if (known.pieces.size() < piece.pieces) {
        forget_oldest();
        return std::nullopt;
    }
    told_changes whole{.after = store_version(piece.after),
                       .version = store_version(piece.version),
                       .complete = piece.complete,
                       .changes = {}};
    for (auto& [number, changes] : known.pieces)
        whole.changes.insert(whole.changes.end(), changes.begin(), changes.end());
    partials_.erase(key);
    return whole;
}

void news_assembler::forget_oldest()
{
    if (partials_.size() <= most_partials)
        return;
    auto const oldest = std::min_element(partials_.begin(), partials_.end(),
                                         [](auto const& left, auto const& right) {
                                             return left.second.last_used < right.second.last_used;
                                         });
    partials_.erase(oldest);
}

} // namespace burdockstep
