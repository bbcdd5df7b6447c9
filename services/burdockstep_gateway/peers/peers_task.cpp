#include "services/burdockstep_gateway/peers/peers_task.hpp"

#include "libraries/wire/codec.hpp"

#include <algorithm>
#include <iterator>

namespace burdockstep::gateway {

namespace {

/// Look-ups must drop a silent entry before many callers have tried it: four beats.
constexpr membership_options membership{
    .heartbeat_interval = std::chrono::milliseconds(250),
    .suspicion_timeout = std::chrono::milliseconds(1'100),
};

} // namespace

peers_task::peers_task(gateway_context& context)
    : context_(context),
      directory_(membership, context.settings.instance, context.run, context.clock.now()),
      socket_(context.loop), heartbeat_timer_(context.loop)
{}

result<void> peers_task::try_start()
{
    auto const bind = [&] {
        return socket_.try_bind(
            context_.settings.peers,
            [this](address const& from, std::string_view bytes) { on_datagram(from, bytes); });
    };
    BOOST_LEAF_ASSIGN(context_.settings.peers, bind());
    heartbeat_timer_.start_periodic(membership.heartbeat_interval, [this] { send_heartbeats(); });
    return {};
}

void peers_task::on_datagram(address const& from, std::string_view bytes)
{
    if (!directory_.is_listed_peer(from)) {
        ++dropped_datagrams_;
        return;
    }
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, wire::decode(bytes));
            if (auto const* const beat = std::get_if<wire::heartbeat>(&message))
                take(*beat);
            else if (auto const* const report = std::get_if<wire::slot_report>(&message))
                context_.post(slot_report_heard{.report = *report});
            else if (auto const* const news = std::get_if<wire::registry_update_message>(&message))
                context_.post(registry_news_heard{.news = *news});
            else if (auto const* const listed = std::get_if<wire::entries_update_message>(&message))
                context_.post(entries_news_heard{.news = *listed});
            return {};
        },
        [&](failure const& error) {
            ++dropped_datagrams_;
            log_.warning("malformed datagram dropped",
                         {field("from", from.text()), field("why", error.message)});
        });
}

void peers_task::take(wire::heartbeat const& beat)
{
    directory_.handle_heartbeat(beat, context_.clock.now());
    if (beat.head.version > directives_)
        context_.post(peer_directives_heard{.version = beat.head.version});
    for (wire::leaving_upstream const& each : beat.leaving.get())
        context_.post(upstream_leaving{.name = upstream_name(each.name.get()), .from_peer = true});
    publish_members();
}

void peers_task::send_heartbeats()
{
    time_point const now = context_.clock.now();
    directory_.mark_silent_as_lost(now);
    directory_.set_own_state(own_state_, epoch_number(1), configuration_);
    wire::heartbeat beat = directory_.make_heartbeat();
    beat.head.version = directives_;
    leaving_.expire(now);
    leaving_.append_to_heartbeat(beat, now);
    std::string const bytes = wire::encode(beat);
    for (address const& each : directory_.heartbeat_targets())
        socket_.send(each, bytes);
    publish_members();
}

void peers_task::send(slot_report_made const& made)
{
    std::string const bytes = wire::encode(made.report);
    for (member_view const& each : directory_.members()) {
        bool const own_region = each.listed.region == context_.settings.region;
        bool const receives = each.listed.instance != context_.settings.instance &&
                              each.is_reachable() && own_region == made.to_own_region;
        if (receives)
            socket_.send(each.listed.peers, bytes);
    }
}

void peers_task::send_to_all(wire::message const& message)
{
    std::string const bytes = wire::encode(message);
    for (member_view const& each : directory_.members()) {
        bool const is_self = each.listed.instance == context_.settings.instance;
        if (!is_self && each.is_reachable())
            socket_.send(each.listed.peers, bytes);
    }
}

void peers_task::merge(entries_read const& read)
{
    std::map<instance_name, listed_member> merged;
    if (!read.whole) {
        for (listed_member const& each : directory_.list())
            merged.emplace(each.instance, each);
    }
    for (listed_member const& each : read.entries) {
        if (each.leaving)
            merged.erase(each.instance);
        else
            merged.insert_or_assign(each.instance, each);
    }
    std::vector<listed_member> listed;
    listed.reserve(merged.size());
    for (auto& [name, each] : merged)
        listed.push_back(std::move(each));
    directory_.apply_list(listed, context_.clock.now());
    // Newly listed entries hear of this one at once.
    send_heartbeats();
}

void peers_task::log_changes(std::vector<member_view> const& members)
{
    for (member_view const& each : members) {
        auto const [known, is_new] = logged_.try_emplace(each.listed.instance, each.state);
        if (!is_new && known->second == each.state)
            continue;
        known->second = each.state;
        log_.info("entry changed",
                  {field("entry", each.listed.instance.get()), field("state", name_of(each.state)),
                   field("incarnation", each.incarnation.get())});
    }
}

void peers_task::publish_members()
{
    if (directory_.change_count() == published_changes_)
        return;
    published_changes_ = directory_.change_count();
    auto members = directory_.members();
    log_changes(members);
    context_.post(members_changed{.members = std::move(members)});
}

void peers_task::receive(event const& what)
{
    if (auto const* const read = std::get_if<entries_read>(&what)) {
        merge(*read);
    }
    else if (auto const* const adopted = std::get_if<routing_adopted>(&what)) {
        configuration_ = adopted->document->version;
        send_heartbeats();
    }
    else if (auto const* const seen = std::get_if<directives_seen>(&what)) {
        bool const is_news = seen->version > directives_;
        directives_ = std::max(directives_, seen->version);
        if (is_news)
            send_heartbeats();
    }
    else if (auto const* const leaving = std::get_if<upstream_leaving>(&what)) {
        time_point const now = context_.clock.now();
        if (!leaving->from_peer && leaving_.record_leaving(leaving->name, now, now))
            send_heartbeats();
    }
    else if (auto const* const made = std::get_if<slot_report_made>(&what)) {
        send(*made);
    }
    else if (auto const* const news = std::get_if<registry_news_made>(&what)) {
        send_to_all(news->news);
    }
    else if (auto const* const listed = std::get_if<entries_news_made>(&what)) {
        send_to_all(listed->news);
    }
    else if (std::holds_alternative<stop_begun>(what)) {
        own_state_ = wire::member_state::stopping;
        send_heartbeats();
    }
}

void peers_task::write_metrics(std::string& out) const
{
    std::size_t serving = 0;
    for (member_view const& each : directory_.members())
        serving += each.is_serving() ? 1 : 0;
    fmt::format_to(std::back_inserter(out), "burdockstep_entries_serving {}\n", serving);
    fmt::format_to(std::back_inserter(out), "burdockstep_datagrams_dropped_total {}\n",
                   dropped_datagrams_);
}

} // namespace burdockstep::gateway
