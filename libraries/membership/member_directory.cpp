#include "libraries/membership/member_directory.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

constexpr std::size_t max_heartbeat_updates =
    decltype(wire::heartbeat::member_updates)::max_elements;
/// Most messages with updates besides a heartbeat.
constexpr std::size_t max_further_messages = 4;

} // namespace

member_run make_member_run(random_source& random)
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    auto const started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    // Incarnation 0 is reserved for an entry that was never heard.
    return {.incarnation = incarnation_id(random.next() | 1U),
            .started_ms = static_cast<std::uint64_t>(started)};
}

char const* name_of(wire::member_state state)
{
    switch (state) {
    case wire::member_state::serving:
        return "serving";
    case wire::member_state::stopping:
        return "stopping";
    case wire::member_state::lost:
        return "lost";
    }
    return "unknown";
}

member_directory::member_directory(membership_options options, instance_name self, member_run run,
                                   time_point now)
    : options_(options), self_(std::move(self)), introductions_end_(time_point::max()),
      last_repair_at_(now - options.heartbeat_interval)
{
    known_member& own = members_[self_];
    own.view.listed.instance = self_;
    next_check_ = watch_ring::position_of(self_);
    own.view.incarnation = run.incarnation;
    own.view.started_ms = run.started_ms;
    own.view.epoch = epoch_number(1);
    own.view.state = wire::member_state::serving;
    own.view.last_heard = now;
    own.heartbeat_number = 1;
}

member_view const& member_directory::self() const
{
    return members_.at(self_).view;
}

void member_directory::apply_list(std::vector<listed_member> const& members, time_point now)
{
    std::map<instance_name, listed_member> listed_by_name;
    for (listed_member const& each : members)
        listed_by_name.emplace(each.instance, each);
    bool changed = std::erase_if(members_, [&](auto const& item) {
                       return item.first != self_ && !listed_by_name.contains(item.first);
                   }) > 0;
    for (auto const& [name, listed] : listed_by_name) {
        auto const [position, is_new] = members_.try_emplace(name);
        known_member& member = position->second;
        if (is_new) {
            member.listed_at = now;
            member.view.last_heard = now;
        }
        changed = changed || is_new || member.view.listed != listed;
        member.view.listed = listed;
    }
    if (!changed)
        return;
    ++change_count_;
    std::erase_if(suspicions_, [&](auto const& item) { return !members_.contains(item.first); });
    std::erase_if(doubted_losses_, [&](auto const& name) { return !members_.contains(name); });
    peer_addresses_.clear();
    for (auto const& [name, member] : members_) {
        if (name != self_)
            peer_addresses_.insert(member.view.listed.peers);
    }
    rebuild_watch_lists(now);
}

bool member_directory::is_listed_peer(address const& from) const
{
    return peer_addresses_.contains(from);
}

bool member_directory::is_listed_ip(std::uint32_t ip) const
{
    auto const first = peer_addresses_.lower_bound({.ip = ip, .port = 0});
    return first != peer_addresses_.end() && first->ip == ip;
}

void member_directory::handle_heartbeat(wire::heartbeat const& beat, time_point now)
{
    apply_record(beat.sender, record_source::member_itself, now);
    for (wire::member_record const& each : beat.member_updates.get())
        apply_record(each, record_source::other_entry, now);
}

void member_directory::handle_records(wire::member_records const& received, time_point now)
{
    for (wire::member_record const& each : received.records.get())
        apply_record(each, record_source::other_entry, now);
}

void member_directory::apply_own_record(wire::member_record const& record)
{
    // When the record has the same or a higher number, others consider this entry lost: the next
    // heartbeat refutes that with a higher number.
    known_member& own = members_.at(self_);
    if (record.incarnation == own.view.incarnation.get())
        own.heartbeat_number = std::max(own.heartbeat_number, record.heartbeat_number + 1);
}

void member_directory::apply_record(wire::member_record const& record, record_source source,
                                    time_point now)
{
    instance_name const name(record.instance.get());
    auto const found = members_.find(name);
    if (found == members_.end())
        return;
    if (name == self_) {
        apply_own_record(record);
        return;
    }
    known_member& member = found->second;
    member_view& view = member.view;
    bool const is_from_itself = source == record_source::member_itself;
    bool const is_newer_run =
        record.incarnation != view.incarnation.get() && record.started_ms > view.started_ms;
    bool const replaces_lost = view.state == wire::member_state::lost && is_from_itself;
    bool const is_same_run = record.incarnation == view.incarnation.get();
    if (!is_newer_run && !is_same_run && !replaces_lost)
        return;
    bool const is_reported_lost = record.state == wire::member_state::lost;
    if (is_same_run && record.heartbeat_number <= member.heartbeat_number) {
        if (!view.is_reachable() && !is_reported_lost)
            doubted_losses_.insert(name);
        return;
    }
    if (is_same_run && is_reported_lost && view.is_reachable()) {
        record_loss_report(record, now);
        return;
    }
    bool const is_certain = is_from_itself || !is_same_run;
    bool const refutes_report = clear_suspicion(record, is_certain);
    bool const changed = update_member(member, record, now);
    if (is_from_itself)
        member.heard_itself_at = now;
    if (changed || refutes_report)
        queue_update(name);
}

bool member_directory::update_member(known_member& member, wire::member_record const& record,
                                     time_point now)
{
    member_view& view = member.view;
    bool const was_reachable = view.is_reachable();
    bool const changed = view.state != record.state ||
                         view.incarnation.get() != record.incarnation ||
                         (view.configuration.get() != 0) != (record.configuration != 0);
    bool const visible_change = changed || view.epoch.get() != record.epoch ||
                                view.configuration.get() != record.configuration;
    change_count_ += visible_change ? 1 : 0;
    view.incarnation = incarnation_id(record.incarnation);
    view.started_ms = record.started_ms;
    view.epoch = epoch_number(record.epoch);
    view.configuration = configuration_version(record.configuration);
    view.state = record.state;
    view.last_heard = now;
    member.heartbeat_number = record.heartbeat_number;
    doubted_losses_.erase(view.listed.instance);
    if (was_reachable != view.is_reachable()) {
        watch_lists_are_stale_ = true;
        member.reachable_since = now;
    }
    return changed;
}

bool member_directory::clear_suspicion(wire::member_record const& newer_record, bool is_certain)
{
    auto const found = suspicions_.find(instance_name(newer_record.instance.get()));
    bool const is_refuted =
        found != suspicions_.end() &&
        (is_certain || newer_record.heartbeat_number > found->second.heartbeat_number);
    if (!is_refuted)
        return false;
    bool const was_reported_lost = found->second.is_reported;
    suspicions_.erase(found);
    return was_reported_lost;
}

void member_directory::record_loss_report(wire::member_record const& record, time_point now)
{
    instance_name const name(record.instance.get());
    time_point const gives_up_at = now + options_.confirmation_timeout;
    auto const [position, is_new] =
        suspicions_.try_emplace(name, suspicion{.gives_up_at = gives_up_at});
    suspicion& existing = position->second;
    existing.heartbeat_number = std::max(existing.heartbeat_number, record.heartbeat_number);
    existing.gives_up_at = std::min(existing.gives_up_at, gives_up_at);
    if (!std::exchange(existing.is_reported, true))
        queue_update(name);
}

void member_directory::set_own_state(wire::member_state state, epoch_number epoch,
                                     configuration_version configuration)
{
    member_view& own_view = members_.at(self_).view;
    bool const is_unchanged = own_view.state == state && own_view.epoch == epoch &&
                              own_view.configuration == configuration;
    change_count_ += is_unchanged ? 0 : 1;
    own_view.state = state;
    own_view.epoch = epoch;
    own_view.configuration = configuration;
}

void member_directory::queue_update(instance_name const& instance)
{
    std::erase_if(pending_updates_,
                  [&](pending_update const& each) { return each.instance == instance; });
    pending_updates_.push_back({.instance = instance, .sends_left = options_.update_repeats});
}

wire::member_record member_directory::to_record(known_member const& member)
{
    member_view const& view = member.view;
    return {.instance = wire::name_text(view.listed.instance.get()),
            .incarnation = view.incarnation.get(),
            .started_ms = view.started_ms,
            .epoch = view.epoch.get(),
            .heartbeat_number = member.heartbeat_number,
            .state = view.state,
            .configuration = view.configuration.get()};
}

wire::member_record member_directory::record_to_send(known_member const& member) const
{
    wire::member_record record = to_record(member);
    auto const found = suspicions_.find(member.view.listed.instance);
    if (found != suspicions_.end() && found->second.is_reported) {
        record.state = wire::member_state::lost;
        record.heartbeat_number = found->second.heartbeat_number;
    }
    return record;
}

wire::heartbeat member_directory::make_beat(std::uint16_t& next_bucket)
{
    wire::heartbeat beat;
    known_member& own = members_.at(self_);
    own.heartbeat_number += 1;
    beat.sender = to_record(own);
    beat.digests = next_digests(next_bucket);
    return beat;
}

wire::heartbeat member_directory::make_answer()
{
    return make_beat(next_answer_bucket_);
}

std::vector<wire::member_record> member_directory::take_updates(std::size_t first,
                                                                std::size_t count)
{
    std::vector<wire::member_record> records;
    std::size_t const end = std::min(first + count, pending_updates_.size());
    for (std::size_t i = first; i < end; ++i) {
        pending_update& update = pending_updates_[i];
        --update.sends_left;
        auto const found = members_.find(update.instance);
        if (found != members_.end())
            records.push_back(record_to_send(found->second));
    }
    return records;
}

wire::heartbeat member_directory::make_heartbeat()
{
    std::erase_if(pending_updates_,
                  [](pending_update const& each) { return each.sends_left == 0; });
    wire::heartbeat beat = make_beat(next_heartbeat_bucket_);
    beat.member_updates = decltype(beat.member_updates)(take_updates(0, max_heartbeat_updates));
    return beat;
}

std::vector<wire::member_records> member_directory::make_further_updates()
{
    std::vector<wire::member_records> messages;
    std::size_t first = max_heartbeat_updates;
    while (first < pending_updates_.size() && messages.size() < max_further_messages) {
        wire::member_records message;
        message.records =
            decltype(message.records)(take_updates(first, decltype(message.records)::max_elements));
        messages.push_back(std::move(message));
        first += decltype(wire::member_records::records)::max_elements;
    }
    return messages;
}

member_digest_table member_directory::digests(std::uint16_t bucket_count) const
{
    member_digest_table table(bucket_count);
    for (auto const& [name, member] : members_)
        table.add(member.view);
    return table;
}

wire::member_digests member_directory::next_digests(std::uint16_t& next_bucket) const
{
    if (watches_all_)
        return {};
    wire::member_digests sent{.buckets = digest_bucket_count(members_.size()), .digests = {}};
    member_digest_table const table = digests(sent.buckets);
    sent.first = static_cast<std::uint16_t>(next_bucket % sent.buckets);
    next_bucket = sent.first;
    while (!sent.digests.is_full() && sent.digests.get().size() < sent.buckets) {
        sent.digests.add(table.digest(next_bucket));
        next_bucket = static_cast<std::uint16_t>((next_bucket + 1) % sent.buckets);
    }
    return sent;
}

std::vector<wire::member_records> member_directory::make_repairs(wire::heartbeat const& beat,
                                                                 time_point now)
{
    wire::member_digests const& received = beat.digests;
    // With far fewer buckets than here, the sender doesn't have the whole list yet.
    bool const is_comparable =
        received.buckets > 0 && digest_bucket_count(members_.size()) <= 2 * received.buckets;
    if (!is_comparable || now - last_repair_at_ < options_.heartbeat_interval / 2)
        return {};
    member_digest_table const table = digests(received.buckets);
    std::set<std::uint16_t> differing;
    std::size_t bucket = received.first;
    for (std::uint64_t const each : received.digests.get()) {
        auto const compared = static_cast<std::uint16_t>(bucket++ % received.buckets);
        if (table.digest(compared) != each)
            differing.insert(compared);
    }
    std::vector<wire::member_records> repairs;
    for (auto const& [name, member] : members_) {
        bool const is_heard = member.view.incarnation.get() != 0;
        if (!is_heard || !differing.contains(digest_bucket(name, received.buckets)))
            continue;
        if (repairs.empty() || repairs.back().records.is_full())
            repairs.emplace_back();
        repairs.back().records.add(to_record(member));
    }
    if (!repairs.empty())
        last_repair_at_ = now;
    return repairs;
}

std::vector<member_view> member_directory::members() const
{
    std::vector<member_view> views;
    for (auto const& [name, member] : members_)
        views.push_back(member.view);
    return views;
}

std::vector<listed_member> member_directory::list() const
{
    std::vector<listed_member> listed;
    for (auto const& [name, member] : members_)
        listed.push_back(member.view.listed);
    return listed;
}

} // namespace burdockstep
