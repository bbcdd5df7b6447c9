#include "libraries/membership/member_directory.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

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
    : options_(options), self_(std::move(self))
{
    member_view& own_view = members_[self_];
    own_view.listed.instance = self_;
    own_view.incarnation = run.incarnation;
    own_view.started_ms = run.started_ms;
    own_view.epoch = epoch_number(1);
    own_view.state = wire::member_state::serving;
    own_view.last_heard = now;
    beat_numbers_[self_] = 1;
}

member_view const& member_directory::self() const
{
    return members_.at(self_);
}

void member_directory::apply_list(std::vector<listed_member> const& members, time_point now)
{
    std::map<instance_name, listed_member> listed_by_name;
    for (listed_member const& each : members)
        listed_by_name.emplace(each.instance, each);
    std::size_t const size_before = members_.size();
    std::size_t added_count = 0;
    std::erase_if(members_, [&](auto const& item) {
        return item.first != self_ && !listed_by_name.contains(item.first);
    });
    bool changed = members_.size() != size_before;
    std::erase_if(beat_numbers_, [&](auto const& item) { return !members_.contains(item.first); });
    for (auto const& [name, listed] : listed_by_name) {
        auto const [position, is_new] = members_.try_emplace(name);
        if (is_new) {
            position->second.last_heard = now;
            ++added_count;
        }
        changed = changed || position->second.listed != listed;
        position->second.listed = listed;
    }
    if (changed || added_count > 0)
        rebuild_watch_lists();
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
    apply_record(beat.sender, true, now);
    for (wire::member_record const& each : beat.member_updates.get())
        apply_record(each, false, now);
}

void member_directory::apply_record(wire::member_record const& record, bool reported_by_itself,
                                    time_point now)
{
    instance_name const name(record.instance.get());
    auto const found = members_.find(name);
    if (found == members_.end())
        return;
    member_view& view = found->second;
    if (name == self_) {
        // When the record has the same or a higher beat number, others consider this entry lost:
        // the next heartbeat refutes that with a higher number.
        if (record.incarnation == view.incarnation.get() &&
            record.heartbeat_number >= beat_numbers_[name])
            beat_numbers_[name] = record.heartbeat_number + 1;
        return;
    }
    bool const is_newer_run =
        record.incarnation != view.incarnation.get() && record.started_ms > view.started_ms;
    bool const replaces_lost = view.state == wire::member_state::lost && reported_by_itself;
    bool const is_same_run = record.incarnation == view.incarnation.get();
    if (!is_newer_run && !is_same_run && !replaces_lost)
        return;
    if (is_same_run && record.heartbeat_number <= beat_numbers_[name])
        return;
    bool const changed = view.state != record.state || !is_same_run;
    bool const visible_change = changed || view.epoch.get() != record.epoch ||
                                view.configuration.get() != record.configuration;
    change_count_ += visible_change ? 1 : 0;
    view.incarnation = incarnation_id(record.incarnation);
    view.started_ms = record.started_ms;
    view.epoch = epoch_number(record.epoch);
    view.configuration = configuration_version(record.configuration);
    view.state = record.state;
    view.last_heard = now;
    beat_numbers_[name] = record.heartbeat_number;
    if (changed)
        queue_update(name);
}

void member_directory::set_own_state(wire::member_state state, epoch_number epoch,
                                     configuration_version configuration)
{
    member_view& own_view = members_.at(self_);
    bool const is_unchanged = own_view.state == state && own_view.epoch == epoch &&
                              own_view.configuration == configuration;
    change_count_ += is_unchanged ? 0 : 1;
    own_view.state = state;
    own_view.epoch = epoch;
    own_view.configuration = configuration;
}

void member_directory::mark_silent_as_lost(time_point now)
{
    for (instance_name const& name : watched_) {
        member_view& view = members_.at(name);
        bool const is_silent = now - view.last_heard > options_.suspicion_timeout;
        if (!is_silent || view.state == wire::member_state::lost)
            continue;
        view.state = wire::member_state::lost;
        ++change_count_;
        // With a beat number above the last one heard, this state replaces the older record at
        // other entries.
        beat_numbers_[name] += 1;
        queue_update(name);
    }
}

void member_directory::queue_update(instance_name const& instance)
{
    std::erase_if(pending_updates_,
                  [&](pending_update const& each) { return each.instance == instance; });
    pending_updates_.push_back({.instance = instance, .sends_left = options_.update_repeats});
}

wire::member_record member_directory::to_record(member_view const& view, std::uint64_t beat)
{
    return {.instance = wire::name_text(view.listed.instance.get()),
            .incarnation = view.incarnation.get(),
            .started_ms = view.started_ms,
            .epoch = view.epoch.get(),
            .heartbeat_number = beat,
            .state = view.state,
            .configuration = view.configuration.get()};
}

wire::heartbeat member_directory::make_heartbeat()
{
    wire::heartbeat beat;
    beat_numbers_[self_] += 1;
    beat.sender = to_record(self(), beat_numbers_[self_]);
    for (pending_update& each : pending_updates_) {
        if (beat.member_updates.is_full())
            break;
        auto const found = members_.find(each.instance);
        if (found != members_.end())
            beat.member_updates.add(to_record(found->second, beat_numbers_[each.instance]));
        --each.sends_left;
    }
    std::erase_if(pending_updates_,
                  [](pending_update const& each) { return each.sends_left == 0; });
    return beat;
}

void member_directory::rebuild_watch_lists()
{
    ++change_count_;
    std::vector<instance_name> names;
    peer_addresses_.clear();
    for (auto const& [name, view] : members_) {
        names.push_back(name);
        if (name != self_)
            peer_addresses_.insert(view.listed.peers);
    }
    watchers_.clear();
    watched_.clear();
    if (names.size() <= options_.full_mesh_limit) {
        std::erase(names, self_);
        watchers_ = names;
        watched_ = names;
        return;
    }
    watch_ring ring;
    ring.rebuild(names);
    watchers_ = ring.watchers_of(self_, options_.watchers_per_entry);
    for (instance_name const& each : names) {
        auto const its_watchers = ring.watchers_of(each, options_.watchers_per_entry);
        if (std::find(its_watchers.begin(), its_watchers.end(), self_) != its_watchers.end())
            watched_.push_back(each);
    }
}

std::vector<address> member_directory::heartbeat_targets() const
{
    std::vector<address> targets;
    for (instance_name const& each : watchers_)
        targets.push_back(members_.at(each).listed.peers);
    return targets;
}

std::vector<member_view> member_directory::members() const
{
    std::vector<member_view> views;
    for (auto const& [name, view] : members_)
        views.push_back(view);
    return views;
}

std::vector<listed_member> member_directory::list() const
{
    std::vector<listed_member> listed;
    for (auto const& [name, view] : members_)
        listed.push_back(view.listed);
    return listed;
}

} // namespace burdockstep
