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
/// Encoded size of a record without its names, rounded up.
constexpr std::size_t record_overhead_bytes = 96;
constexpr std::size_t max_record_bytes_per_piece = wire::max_datagram_bytes - update_overhead_bytes;

std::size_t max_encoded_size(wire::registration_record const& record)
{
    return record_overhead_bytes + record.name.get().size() + record.service.get().size() +
           record.place.get().size();
}

wire::registration_state state_on_wire(upstream_record const& record)
{
    if (!record.is_registered())
        return wire::registration_state::gone;
    return record.registration.state == upstream_state::ready ? wire::registration_state::ready
                                                              : wire::registration_state::draining;
}

wire::registration_record to_wire(upstream_record const& record)
{
    upstream_registration const& registration = record.registration;
    wire::registration_record encoded;
    encoded.name = wire::registry_text(registration.name.get());
    encoded.state = state_on_wire(record);
    encoded.heartbeat = registration.heartbeat;
    encoded.started_ms = registration.started_ms;
    encoded.start_revision = record.start_revision;
    encoded.written_at = record.written_at;
    encoded.removed_at = record.removed_at.value_or(store_position{});
    if (encoded.state == wire::registration_state::gone)
        return encoded;
    encoded.service = wire::registry_text(registration.service.get());
    encoded.place = wire::registry_text(registration.place.get());
    encoded.at = registration.at;
    encoded.slots = registration.slots.get();
    encoded.cold_left_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(registration.cold_left).count());
    return encoded;
}

upstream_record from_wire(wire::registration_record const& encoded)
{
    upstream_record record;
    upstream_registration& registration = record.registration;
    registration.name = upstream_name(encoded.name.get());
    registration.service = service_name(encoded.service.get());
    registration.at = encoded.at;
    registration.place = place_name(encoded.place.get());
    registration.slots = slot_count(encoded.slots);
    registration.state = encoded.state == wire::registration_state::draining
                             ? upstream_state::draining
                             : upstream_state::ready;
    registration.cold_left = std::chrono::milliseconds(encoded.cold_left_ms);
    registration.heartbeat = encoded.heartbeat;
    registration.started_ms = encoded.started_ms;
    record.start_revision = encoded.start_revision;
    record.written_at = encoded.written_at;
    if (encoded.removed_at.version != store_version{})
        record.removed_at = encoded.removed_at;
    return record;
}

std::vector<upstream_record>
records_from_wire(std::vector<wire::registration_record> const& encoded_records)
{
    std::vector<upstream_record> records;
    records.reserve(encoded_records.size());
    for (wire::registration_record const& each : encoded_records)
        records.push_back(from_wire(each));
    return records;
}

/// Divides records among messages that are copies of an empty one. `list_of` returns a message's
/// list of records.
template <class Message, class ListOf>
std::vector<Message> divide_records(std::vector<upstream_record> const& records,
                                    Message const& empty_message, ListOf const& list_of)
{
    std::vector<Message> messages{empty_message};
    std::size_t bytes = 0;
    for (upstream_record const& each : records) {
        wire::registration_record encoded = to_wire(each);
        std::size_t const record_bytes = max_encoded_size(encoded);
        bool const is_oversized = bytes + record_bytes > max_record_bytes_per_piece;
        if (list_of(messages.back()).is_full() || is_oversized) {
            messages.push_back(empty_message);
            bytes = 0;
        }
        list_of(messages.back()).add(std::move(encoded));
        bytes += record_bytes;
    }
    return messages;
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
                    std::vector<registration_change> const& changes, time_point now)
{
    std::map<upstream_name, registration_change const*> latest_changes;
    for (registration_change const& each : changes)
        latest_changes[each.name] = &each;
    std::vector<registration_change> announced;
    for (auto const& [name, change] : latest_changes) {
        if (registry.is_significant_change(*change, now))
            announced.push_back(*change);
    }
    return announced;
}

std::vector<registration_change>
snapshot_differences(upstream_registry const& registry,
                     std::vector<registration_change> const& snapshot, time_point now)
{
    std::vector<registration_change> changes = significant_changes(registry, snapshot, now);
    std::set<upstream_name> present_names;
    for (registration_change const& each : snapshot)
        present_names.insert(each.name);
    for (auto const& [name, existing] : registry.upstreams()) {
        if (!existing.removed && !present_names.contains(name))
            changes.push_back({.name = name, .registration = {}, .at = {}});
    }
    return changes;
}

std::vector<upstream_name> names_of(std::vector<registration_change> const& changes)
{
    std::vector<upstream_name> names;
    names.reserve(changes.size());
    for (registration_change const& each : changes)
        names.push_back(each.name);
    return names;
}

std::vector<wire::registry_update_message>
make_registry_update_pieces(store_position after, store_position up_to,
                            std::vector<upstream_record> const& records)
{
    wire::registry_update_message const empty_piece{.after = after, .up_to = up_to, .changes = {}};
    auto pieces = divide_records(
        records, empty_piece,
        [](wire::registry_update_message & piece) -> auto& { return piece.changes; });
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

std::vector<wire::registry_records_message>
make_registry_records_messages(std::vector<upstream_record> const& records)
{
    return divide_records(
        records, wire::registry_records_message{},
        [](wire::registry_records_message & message) -> auto& { return message.records; });
}

std::vector<upstream_record> records_in(wire::registry_records_message const& message)
{
    return records_from_wire(message.records.get());
}

std::optional<assembled_registry_update>
registry_update_assembler::add_piece(wire::registry_update_message const& piece)
{
    position_range const key{piece.after, piece.up_to};
    incomplete_update& existing = incomplete_updates_[key];
    existing.last_used = ++use_count_;
    existing.pieces[piece.piece_index] = records_from_wire(piece.changes.get());
    if (existing.pieces.size() < piece.pieces) {
        evict_least_recently_used();
        return std::nullopt;
    }
    assembled_registry_update assembled{.after = piece.after,
                                        .up_to = piece.up_to,
                                        .complete = piece.complete,
                                        .registered_digest = piece.registered_digest,
                                        .records = {}};
    for (auto& [number, records] : existing.pieces)
        assembled.records.insert(assembled.records.end(), records.begin(), records.end());
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
