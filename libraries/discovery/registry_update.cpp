#include "libraries/discovery/registry_update.hpp"

#include "libraries/core/digest.hpp"
#include "libraries/wire/codec.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace burdockstep {

namespace {

/// Makes the order of entries by hash independent of the other orders that hash the same names.
constexpr std::uint64_t reader_hash_seed = 0x7265616465720001;
/// Maximum number of pieces per update. With more of them, sending the update would take more
/// datagrams than it would take calls if every entry read the registry itself.
constexpr std::size_t max_pieces = 8;
/// Maximum number of incomplete updates kept: the current one and an earlier one of each of the two
/// readers.
constexpr std::size_t max_incomplete_updates = 4;

/// Encoded size of an update without changes, rounded up.
constexpr std::size_t update_overhead_bytes = 96;
/// Encoded size of a change without its names, rounded up.
constexpr std::size_t change_overhead_bytes = 64;
constexpr std::size_t max_change_bytes_per_piece = wire::max_datagram_bytes - update_overhead_bytes;

std::size_t max_encoded_size(wire::registration_change_record const& change)
{
    return change_overhead_bytes + change.name.get().size() + change.service.get().size() +
           change.place.get().size();
}

wire::registration_change_record to_wire(registration_change const& change)
{
    wire::registration_change_record announced;
    announced.name = wire::registry_text(change.name.get());
    announced.state = wire::registration_state::gone;
    if (!change.registration)
        return announced;
    upstream_registration const& registration = *change.registration;
    announced.service = wire::registry_text(registration.service.get());
    announced.place = wire::registry_text(registration.place.get());
    announced.at = registration.at;
    announced.slots = registration.slots.get();
    announced.state = registration.state == upstream_state::ready
                          ? wire::registration_state::ready
                          : wire::registration_state::draining;
    announced.cold_left_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(registration.cold_left).count());
    announced.heartbeat = registration.heartbeat;
    announced.started_ms = registration.started_ms;
    return announced;
}

registration_change from_wire(wire::registration_change_record const& announced)
{
    registration_change change{.name = upstream_name(announced.name.get()), .registration = {}};
    if (announced.state == wire::registration_state::gone)
        return change;
    upstream_registration registration;
    registration.name = change.name;
    registration.service = service_name(announced.service.get());
    registration.at = announced.at;
    registration.place = place_name(announced.place.get());
    registration.slots = slot_count(announced.slots);
    registration.state = announced.state == wire::registration_state::ready
                             ? upstream_state::ready
                             : upstream_state::draining;
    registration.cold_left = std::chrono::milliseconds(announced.cold_left_ms);
    registration.heartbeat = announced.heartbeat;
    registration.started_ms = announced.started_ms;
    change.registration = registration;
    return change;
}

/// The live members, the one with the highest hash first.
std::vector<member_view const*> live_by_reader_hash(instance_name const& self,
                                                    std::vector<member_view> const& members)
{
    std::vector<member_view const*> live_members;
    for (member_view const& each : members) {
        if (each.listed.instance == self || each.is_running())
            live_members.push_back(&each);
    }
    std::sort(live_members.begin(), live_members.end(),
              [](member_view const* left, member_view const* right) {
                  return hash_of(left->listed.instance.get(), reader_hash_seed) >
                         hash_of(right->listed.instance.get(), reader_hash_seed);
              });
    return live_members;
}

} // namespace

std::vector<instance_name> registry_readers(instance_name const& self,
                                            std::vector<member_view> const& members)
{
    std::vector<member_view const*> const live_members = live_by_reader_hash(self, members);
    std::vector<instance_name> readers;
    if (live_members.size() <= 2) {
        for (member_view const* const each : live_members)
            readers.push_back(each->listed.instance);
        return readers;
    }
    auto const second =
        std::find_if(live_members.begin() + 1, live_members.end(), [&](member_view const* each) {
            return each->listed.place != live_members.front()->listed.place;
        });
    member_view const& second_reader = second == live_members.end() ? *live_members[1] : **second;
    return {live_members.front()->listed.instance, second_reader.listed.instance};
}

bool is_registry_reader(instance_name const& self, std::vector<member_view> const& members)
{
    if (live_by_reader_hash(self, members).size() <= 2)
        return true;
    std::vector<instance_name> const readers = registry_readers(self, members);
    return std::find(readers.begin(), readers.end(), self) != readers.end();
}

std::vector<registration_change>
significant_changes(upstream_registry const& registry,
                    std::vector<registration_change> const& changes)
{
    std::map<upstream_name, registration_change const*> latest_changes;
    for (registration_change const& each : changes)
        latest_changes[each.name] = &each;
    std::vector<registration_change> announced;
    for (auto const& [name, change] : latest_changes) {
        if (registry.is_significant_change(*change))
            announced.push_back(*change);
    }
    return announced;
}

std::vector<registration_change>
snapshot_differences(upstream_registry const& registry,
                     std::vector<registration_change> const& snapshot)
{
    std::vector<registration_change> changes = significant_changes(registry, snapshot);
    std::set<upstream_name> present_names;
    for (registration_change const& each : snapshot)
        present_names.insert(each.name);
    for (auto const& [name, existing] : registry.upstreams()) {
        if (!existing.removed && !present_names.contains(name))
            changes.push_back({.name = name, .registration = {}});
    }
    return changes;
}

std::vector<wire::registry_update_message>
make_registry_update_pieces(store_position after, store_position up_to,
                            std::vector<registration_change> const& changes)
{
    wire::registry_update_message const empty_piece{.after = after, .up_to = up_to, .changes = {}};
    std::vector<wire::registry_update_message> pieces{empty_piece};
    std::size_t piece_bytes = 0;
    for (registration_change const& each : changes) {
        wire::registration_change_record record = to_wire(each);
        std::size_t const record_bytes = max_encoded_size(record);
        bool const is_oversized = piece_bytes + record_bytes > max_change_bytes_per_piece;
        if (pieces.back().changes.is_full() || is_oversized) {
            pieces.push_back(empty_piece);
            piece_bytes = 0;
        }
        pieces.back().changes.add(std::move(record));
        piece_bytes += record_bytes;
    }
    if (pieces.size() > max_pieces) {
        pieces = {empty_piece};
        pieces.front().complete = false;
    }
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        pieces[i].piece_index = static_cast<std::uint8_t>(i);
        pieces[i].pieces = static_cast<std::uint8_t>(pieces.size());
    }
    return pieces;
}

std::optional<assembled_registry_update>
registry_update_assembler::add_piece(wire::registry_update_message const& piece)
{
    position_range const key{piece.after, piece.up_to};
    incomplete_update& existing = incomplete_updates_[key];
    existing.last_used = ++use_count_;
    std::vector<registration_change>& piece_changes = existing.pieces[piece.piece_index];
    piece_changes.clear();
    for (wire::registration_change_record const& each : piece.changes.get())
        piece_changes.push_back(from_wire(each));
    if (existing.pieces.size() < piece.pieces) {
        evict_least_recently_used();
        return std::nullopt;
    }
    assembled_registry_update assembled{
        .after = piece.after, .up_to = piece.up_to, .complete = piece.complete, .changes = {}};
    for (auto& [number, changes] : existing.pieces)
        assembled.changes.insert(assembled.changes.end(), changes.begin(), changes.end());
    incomplete_updates_.erase(key);
    return assembled;
}

void registry_update_assembler::evict_least_recently_used()
{
    if (incomplete_updates_.size() <= max_incomplete_updates)
        return;
    auto const least_recently_used =
        std::min_element(incomplete_updates_.begin(), incomplete_updates_.end(),
                         [](auto const& left, auto const& right) {
                             return left.second.last_used < right.second.last_used;
                         });
    incomplete_updates_.erase(least_recently_used);
}

} // namespace burdockstep
