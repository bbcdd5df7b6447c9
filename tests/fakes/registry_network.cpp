#include "tests/fakes/registry_network.hpp"

#include "libraries/discovery/registry_update.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

#include <utility>

namespace burdockstep::testing {

namespace {

constexpr unsigned server_count = 5;
constexpr unsigned entry_count = 6;
/// Longer than the time for which registrations that a restored copy lacks are kept.
constexpr duration longer_than_grace = std::chrono::seconds(3);
/// Enough for everybody to be told of everything: by entry 0, after it has been told itself.
constexpr unsigned comparison_rounds = 3;

} // namespace

store_position registration_rows::next_position()
{
    position_.version = store_version(position_.version.get() + 1);
    return position_;
}

void registration_rows::write(upstream_registration const& registration)
{
    registration_change const change{
        .name = registration.name, .registration = registration, .at = next_position()};
    rows_[change.name] = change;
    log_.push_back(change);
}

void registration_rows::remove(upstream_name const& name)
{
    rows_.erase(name);
    log_.push_back({.name = name, .registration = {}, .at = next_position()});
}

void registration_rows::restore_copy()
{
    rows_ = copy_.rows;
    position_ = {.era = store_era(position_.era.get() + 1), .version = copy_.version};
    log_.clear();
    // The rows keep their versions, but belong to the new history.
    for (auto& [name, row] : rows_)
        row.at.era = position_.era;
    copy_.rows = rows_;
}

std::vector<registration_change> registration_rows::all() const
{
    std::vector<registration_change> content;
    for (auto const& [name, row] : rows_)
        content.push_back(row);
    return content;
}

std::vector<registration_change> registration_rows::changes_after(store_position after) const
{
    std::vector<registration_change> changes;
    for (registration_change const& each : log_) {
        if (each.at > after)
            changes.push_back(each);
    }
    return changes;
}

registry_network::registry_network(std::uint64_t seed) : random_(seed), now_(start_time())
{
    for (unsigned i = 0; i < server_count; ++i) {
        server added;
        added.registration = sample_upstream(i).registration;
        servers_.push_back(std::move(added));
        restart(servers_.back());
    }
    for (unsigned i = 0; i < entry_count; ++i) {
        entries_.push_back({.registry = new_registry(), .position = {}, .messages = {}});
        read(entries_.back(), false);
    }
    rows_.keep_copy();
}

upstream_registry registry_network::new_registry()
{
    // A loss of many registrations at once takes effect at once.
    return upstream_registry({.mass_loss_grace = duration::zero()},
                             {{place_name("p"), region_name("r")}});
}

void registry_network::play(unsigned events)
{
    for (unsigned i = 0; i < events; ++i)
        play_event();
}

void registry_network::play_event()
{
    server& any_server = servers_[random_() % servers_.size()];
    entry& any_entry = entries_[1 + random_() % (entries_.size() - 1)];
    switch (random_() % 10) {
    case 0:
    case 1:
        write_heartbeat(any_server);
        break;
    case 2:
        perform_late_write(any_server);
        break;
    case 3:
        any_server.runs ? leave(any_server) : restart(any_server);
        break;
    case 4:
        remove_silent(any_server);
        break;
    case 5:
        happens(0.3) ? rows_.restore_copy() : rows_.keep_copy();
        break;
    case 6:
        if (happens(0.2))
            any_entry = {.registry = new_registry(), .position = {}, .messages = {}};
        read(any_entry, happens(0.5));
        break;
    default:
        deliver_message(any_entry);
        break;
    }
    read(entries_.front(), true);
    now_ += std::chrono::milliseconds(random_() % 200);
    for (entry& each : entries_)
        each.registry.expire(now_);
}

void registry_network::write_heartbeat(server& writer)
{
    if (!writer.runs)
        return;
    ++writer.registration.heartbeat;
    bool const gets_no_answer = happens(0.3);
    if (gets_no_answer) {
        writer.late_writes.push_back(writer.registration);
        ++writer.registration.heartbeat;
    }
    rows_.write(writer.registration);
}

void registry_network::perform_late_write(server& writer)
{
    if (writer.late_writes.empty())
        return;
    rows_.write(writer.late_writes.back());
    writer.late_writes.pop_back();
}

void registry_network::leave(server& leaving)
{
    leaving.runs = false;
    rows_.remove(leaving.registration.name);
}

void registry_network::restart(server& restarting)
{
    restarting.runs = true;
    restarting.registration.started_ms = ++last_start_ms_;
    restarting.registration.heartbeat = 1;
    rows_.write(restarting.registration);
}

void registry_network::remove_silent(server const& silent)
{
    if (!silent.runs && rows_.has_row(silent.registration.name))
        rows_.remove(silent.registration.name);
}

void registry_network::read(entry& reader, bool tells_others)
{
    bool const reads_all = reader.position.era != rows_.position().era;
    auto const content = reads_all ? rows_.all() : rows_.changes_after(reader.position);
    auto const changed = names_of(reads_all ? snapshot_differences(reader.registry, content, now_)
                                            : significant_changes(reader.registry, content, now_));
    if (reads_all)
        reader.registry.apply_snapshot(content, now_, rows_.position());
    else
        reader.registry.apply_changes(content, now_);
    reader.position = rows_.position();
    if (!tells_others || changed.empty())
        return;
    for (entry& each : entries_) {
        bool const is_lost = happens(0.2);
        if (&each != &reader && !is_lost)
            each.messages.push_back(reader.registry.records_of(changed, now_));
    }
}

void registry_network::deliver_message(entry& receiver)
{
    if (receiver.messages.empty())
        return;
    auto const message = receiver.messages.begin() +
                         static_cast<std::ptrdiff_t>(random_() % receiver.messages.size());
    receiver.registry.merge_records(*message, now_);
    bool const arrives_again = happens(0.3);
    if (!arrives_again)
        receiver.messages.erase(message);
}

void registry_network::compare(entry& asking, entry& asked)
{
    auto const question =
        asking.repair.compare(combined_digest(asked.registry.registered_digests()), asking.registry,
                              entries_.size(), random_, now_);
    if (!question)
        return;
    auto const tell = [&](entry& receiver,
                          std::vector<wire::registry_records_message> const& told) {
        for (wire::registry_records_message const& each : told)
            receiver.registry.merge_records(records_in(each), now_);
    };
    registry_repair_answer const answer = asked.repair.answer(*question, asked.registry, now_);
    registry_repair_answer const returned =
        asking.repair.answer(*answer.counter_question, asking.registry, now_);
    tell(asking, answer.records);
    tell(asked, returned.records);
}

void registry_network::settle()
{
    for (server& each : servers_) {
        if (!each.runs)
            continue;
        ++each.registration.heartbeat;
        rows_.write(each.registration);
    }
    read(entries_.front(), false);
    for (unsigned round = 0; round < comparison_rounds; ++round) {
        now_ += longer_than_grace;
        for (entry& each : entries_)
            each.registry.expire(now_);
        for (std::size_t i = 1; i < entries_.size(); ++i)
            compare(entries_[i], entries_.front());
    }
}

std::string registry_network::disagreement() const
{
    std::string text;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        for (server const& each : servers_) {
            auto const& upstreams = entries_[i].registry.upstreams();
            auto const found = upstreams.find(each.registration.name);
            bool const is_used = found != upstreams.end() && found->second.is_usable();
            if (is_used != each.runs) {
                text += fmt::format("entry {} {} {}; ", i, is_used ? "uses" : "doesn't use",
                                    each.registration.name.get());
            }
        }
    }
    return text;
}

} // namespace burdockstep::testing
