#include "tests/fakes/member_network.hpp"

#include <utility>

namespace burdockstep::testing {

namespace {

constexpr duration step_length = std::chrono::milliseconds(10);
constexpr std::uint64_t min_delay_ms = 2;
constexpr std::uint64_t max_delay_ms = 60;
constexpr double loss_fraction = 0.01;
constexpr duration stop_duration = std::chrono::seconds(2);

/// The settings of the gateway.
constexpr membership_options gateway_options{
    .heartbeat_interval = std::chrono::milliseconds(250),
    .suspicion_timeout = std::chrono::milliseconds(1'100),
    .confirmation_timeout = std::chrono::milliseconds(750),
};

} // namespace

member_network::member_network(std::uint64_t seed, unsigned name_offset)
    : options_(gateway_options), name_offset_(name_offset),
      random_(std::make_unique<random_source>(seed))
{}

std::size_t member_network::start(unsigned count)
{
    std::size_t const first = entries_.size();
    for (unsigned i = 0; i < count; ++i) {
        std::size_t const index = entries_.size();
        simulated_member member;
        member.listed.instance =
            instance_name("front-place-" + std::to_string(name_offset_ + index + 1));
        member.listed.region = region_name("armor");
        member.listed.peers = {.ip = static_cast<std::uint32_t>(1'000 + index), .port = 7};
        entry_at_[member.listed.peers] = index;
        entries_.push_back(std::move(member));
    }
    for (std::size_t index = first; index < entries_.size(); ++index)
        begin_run(index);
    publish_list();
    return first;
}

void member_network::begin_run(std::size_t entry)
{
    simulated_member& member = entries_[entry];
    auto const started =
        std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
    member.directory = std::make_unique<member_directory>(
        options_, member.listed.instance,
        member_run{.incarnation = incarnation_id(random_->next() | 1U),
                   .started_ms = static_cast<std::uint64_t>(started.count())},
        now_);
    member.stopping = false;
    member.ends_at = time_point::max();
    auto const interval =
        static_cast<std::uint64_t>(options_.heartbeat_interval / std::chrono::milliseconds(1));
    member.next_heartbeat =
        now_ + std::chrono::milliseconds(static_cast<std::int64_t>(random_->below(interval)));
}

void member_network::publish_list()
{
    std::vector<listed_member> list;
    for (simulated_member const& each : entries_)
        list.push_back(each.listed);
    for (simulated_member const& each : entries_) {
        if (each.directory)
            each.directory->apply_list(list, now_);
    }
}

void member_network::end(std::size_t entry)
{
    entries_[entry].directory.reset();
}

void member_network::stop(std::size_t entry)
{
    entries_[entry].stopping = true;
    entries_[entry].ends_at = now_ + stop_duration;
    beat(entry);
}

void member_network::restart(std::size_t entry)
{
    begin_run(entry);
    publish_list();
}

void member_network::run_for(duration span)
{
    time_point const end = now_ + span;
    while (now_ < end)
        step();
}

void member_network::step()
{
    now_ += step_length;
    while (!under_way_.empty() && under_way_.top().arrives_at <= now_) {
        datagram const arrived = under_way_.top();
        under_way_.pop();
        deliver(arrived);
    }
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        simulated_member& member = entries_[index];
        if (now_ >= member.ends_at)
            end(index);
        if (!member.directory || now_ < member.next_heartbeat)
            continue;
        member.next_heartbeat = now_ + options_.heartbeat_interval;
        beat(index);
    }
}

void member_network::beat(std::size_t entry)
{
    simulated_member& member = entries_[entry];
    member_directory& directory = *member.directory;
    directory.mark_silent_as_lost(now_);
    directory.set_own_state(member.stopping ? wire::member_state::stopping
                                            : wire::member_state::serving,
                            epoch_number(1), configuration_version(1));
    wire::heartbeat const heartbeat_message = directory.make_heartbeat();
    for (address const& each : directory.heartbeat_targets())
        send(entry, each, heartbeat_message);
    for (wire::member_records const& further : directory.make_further_updates()) {
        for (address const& each : directory.heartbeat_targets())
            send(entry, each, further);
    }
    std::vector<address> const asked = directory.take_probe_targets(now_);
    if (asked.empty())
        return;
    wire::heartbeat probe = directory.make_answer();
    probe.wants_answer = true;
    for (address const& each : asked)
        send(entry, each, probe);
}

void member_network::deliver(datagram const& arrived)
{
    if (!is_running(arrived.to))
        return;
    member_directory& directory = *entries_[arrived.to].directory;
    if (auto const* const records = std::get_if<wire::member_records>(&arrived.message))
        directory.handle_records(*records, now_);
    auto const* const beat = std::get_if<wire::heartbeat>(&arrived.message);
    if (beat == nullptr)
        return;
    directory.handle_heartbeat(*beat, now_);
    if (beat->wants_answer)
        send(arrived.to, arrived.from, directory.make_answer());
    for (wire::member_records const& each : directory.make_repairs(*beat, now_))
        send(arrived.to, arrived.from, each);
}

void member_network::send(std::size_t from, address const& to, wire::message const& message)
{
    send(from, entry_at_.at(to), message);
}

void member_network::send(std::size_t from, std::size_t to, wire::message const& message)
{
    ++datagrams_;
    bool const is_dropped =
        (is_cut_ && is_cut_(from, to)) || random_->uniform_fraction() < loss_fraction;
    if (is_dropped)
        return;
    auto const delay = min_delay_ms + random_->below(max_delay_ms - min_delay_ms);
    under_way_.push(
        {.arrives_at = now_ + std::chrono::milliseconds(static_cast<std::int64_t>(delay)),
         .from = from,
         .to = to,
         .message = message});
}

bool member_network::names(std::size_t observer, std::size_t observed) const
{
    for (member_view const& each : entries_[observer].directory->members()) {
        if (each.listed.instance == entries_[observed].listed.instance)
            return each.is_serving();
    }
    return false;
}

std::map<instance_name, region_name> member_network::live_entries(std::size_t observer) const
{
    std::map<instance_name, region_name> live;
    for (member_view const& each : entries_[observer].directory->members()) {
        bool const is_live = each.listed.instance == name_of(observer) ||
                             (each.is_reachable() && !each.listed.leaving);
        if (is_live)
            live.emplace(each.listed.instance, each.listed.region);
    }
    live.emplace(name_of(observer), entries_[observer].listed.region);
    return live;
}

std::size_t member_network::count_pairs(bool runs, bool is_named) const
{
    std::size_t count = 0;
    for (simulated_member const& observer : entries_) {
        if (!observer.directory)
            continue;
        for (member_view const& each : observer.directory->members()) {
            bool const matches = is_running(entry_at_.at(each.listed.peers)) == runs &&
                                 each.is_serving() == is_named;
            count += matches ? 1 : 0;
        }
    }
    return count;
}

} // namespace burdockstep::testing
