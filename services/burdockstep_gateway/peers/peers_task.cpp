#include "services/burdockstep_gateway/peers/peers_task.hpp"

#include "libraries/wire/codec.hpp"

#include <algorithm>
#include <iterator>

namespace burdockstep::gateway {

namespace {

/// Look-ups must drop an unresponsive entry before many callers have tried it, so an entry is
/// suspected after about four missed heartbeats.
constexpr membership_options membership_settings{
    .heartbeat_interval = std::chrono::milliseconds(250),
    .suspicion_timeout = std::chrono::milliseconds(1'100),
    .confirmation_timeout = std::chrono::milliseconds(750),
};

/// Far below the time within which look-ups must drop an entry that is gone.
constexpr duration min_publish_interval = std::chrono::milliseconds(50);

} // namespace

peers_task::peers_task(gateway_context& context)
    : context_(context),
      directory_(membership_settings, context.settings.instance, context.run, context.clock.now()),
      socket_(context.loop), heartbeat_timer_(context.loop), publish_timer_(context.loop)
{}

result<void> peers_task::try_start()
{
    auto const bind = [&] {
        return socket_.try_bind(
            context_.settings.peers,
            [this](address const& from, std::string_view bytes) { on_datagram(from, bytes); });
    };
    BOOST_LEAF_ASSIGN(context_.settings.peers, bind());
    heartbeat_timer_.start_periodic(membership_settings.heartbeat_interval,
                                    [this] { send_heartbeats(); });
    return {};
}

void peers_task::on_datagram(address const& from, std::string_view bytes)
{
    std::optional<peer_distance> const distance = targets_.distance_of(from);
    if (!distance) {
        ++dropped_datagrams_;
        return;
    }
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, wire::decode(bytes));
            datagrams_.count_received(message, *distance, bytes.size());
            if (auto const* const heartbeat_message = std::get_if<wire::heartbeat>(&message))
                process_heartbeat(*heartbeat_message, from);
            else if (auto const* const records = std::get_if<wire::member_records>(&message))
                process_records(*records);
            else if (auto const* const report = std::get_if<wire::slot_report>(&message))
                context_.post(slot_report_received{.report = *report});
            else if (auto const* const update =
                         std::get_if<wire::registry_update_message>(&message))
                context_.post(registry_update_received{.from = from, .update = *update});
            else if (auto const* const asked = std::get_if<wire::registry_question>(&message))
                context_.post(registry_question_received{.from = from, .question = *asked});
            else if (auto const* const known =
                         std::get_if<wire::registry_records_message>(&message))
                context_.post(registry_records_received{.message = *known});
            else if (auto const* const listed = std::get_if<wire::entries_update_message>(&message))
                context_.post(entries_update_received{.update = *listed});
            else if (auto const* const question = std::get_if<wire::directives_question>(&message))
                context_.post(directives_question_received{.from = from, .question = *question});
            else if (auto const* const proof = std::get_if<wire::directives_proof>(&message))
                context_.post(directives_proof_received{.proof = *proof});
            else if (auto const* const told = std::get_if<wire::entry_capacities_message>(&message))
                process_capacities(*told);
            else if (auto const* const sums = std::get_if<wire::place_slot_report>(&message))
                context_.post(place_report_received{.report = *sums});
            else if (auto const* const questions = std::get_if<wire::quota_questions>(&message))
                context_.post(quota_message_received{.from = from, .message = *questions});
            else if (auto const* const grants = std::get_if<wire::quota_grants>(&message))
                context_.post(quota_message_received{.from = from, .message = *grants});
            return {};
        },
        [&](failure const& error) {
            ++dropped_datagrams_;
            log_.warning("malformed datagram dropped",
                         {field("from", from.text()), field("why", error.message)});
        });
}

void peers_task::process_heartbeat(wire::heartbeat const& heartbeat_message, address const& sender)
{
    time_point const now = context_.clock.now();
    directory_.handle_heartbeat(heartbeat_message, now);
    if (heartbeat_message.wants_answer) {
        wire::heartbeat answer = directory_.make_answer();
        answer.directives = directives_position_;
        send(answer, {sender});
    }
    for (wire::member_records const& each : directory_.make_repairs(heartbeat_message, now))
        send(each, {sender});
    if (heartbeat_message.directives > directives_position_)
        context_.post(peer_directives_position_received{.position = heartbeat_message.directives});
    // New reports are also sent on, with their age, in this entry's next heartbeats.
    for (leaving_report const& each : leaving_upstreams_.record_leaving(heartbeat_message, now))
        context_.post(upstream_leaving{.report = each, .from_peer = true});
    publish_members();
}

void peers_task::process_records(wire::member_records const& records)
{
    directory_.handle_records(records, context_.clock.now());
    publish_members();
}

void peers_task::process_capacities(wire::entry_capacities_message const& told)
{
    directory_.apply_list(with_capacities(directory_.list(), told, context_.settings.instance),
                          context_.clock.now());
    publish_members();
}

void peers_task::send_heartbeats()
{
    time_point const now = context_.clock.now();
    directory_.mark_silent_as_lost(now);
    directory_.set_own_state(own_state_, epoch_number(1), configuration_version_);
    wire::heartbeat heartbeat_message = directory_.make_heartbeat();
    heartbeat_message.directives = directives_position_;
    leaving_upstreams_.expire(now);
    leaving_upstreams_.append_to_heartbeat(heartbeat_message, now);
    send(heartbeat_message, directory_.heartbeat_targets());
    for (wire::member_records const& each : directory_.make_further_updates())
        send(each, directory_.heartbeat_targets());
    send_probes(now);
    publish_members();
}

void peers_task::send_probes(time_point now)
{
    std::vector<address> const asked = directory_.take_probe_targets(now);
    if (asked.empty())
        return;
    wire::heartbeat probe = directory_.make_answer();
    probe.wants_answer = true;
    probe.directives = directives_position_;
    send(probe, asked);
}

void peers_task::send(wire::message const& message, std::vector<address> const& targets)
{
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(bytes, wire::try_encode(message));
            for (address const& each : targets) {
                socket_.send(each, bytes);
                if (auto const distance = targets_.distance_of(each))
                    datagrams_.count_sent(message, *distance, bytes.size());
            }
            return {};
        },
        [&](failure const& error) {
            log_.error("message to other entries can't be encoded and is dropped",
                       {field("why", error.message)});
        });
}

std::vector<address> const& peers_task::targets_of(report_audience audience) const
{
    switch (audience) {
    case report_audience::own_place:
        return targets_.own_place();
    case report_audience::other_places_of_region:
        return targets_.other_places_of_region();
    case report_audience::other_regions:
        return targets_.other_regions();
    case report_audience::own_region:
        break;
    }
    return targets_.own_region();
}

void peers_task::send_to_all(wire::message const& message)
{
    send(message, targets_.own_region());
    send(message, targets_.other_regions());
}

void peers_task::merge_entry_records(entry_records_received const& received_records)
{
    std::vector<listed_member> const listed = burdockstep::merge_entry_records(
        directory_.members(), received_records.entries, received_records.kind);
    if (listed.size() >= max_listed_entries) {
        log_.error("as many entries are listed as may be; further ones are passed over; find out "
                   "who lists them",
                   {field("limit", max_listed_entries)});
    }
    directory_.apply_list(listed, context_.clock.now());
    // Datagrams of newly listed entries are accepted from now on.
    targets_.rebuild(context_.settings, directory_.members());
    // Introduces this entry to the newly listed ones immediately.
    send_heartbeats();
}

void peers_task::log_state_changes(std::vector<member_view> const& members)
{
    for (member_view const& each : members) {
        auto const [logged_state, is_new] =
            logged_states_.try_emplace(each.listed.instance, each.state);
        if (!is_new && logged_state->second == each.state)
            continue;
        logged_state->second = each.state;
        log_.info("entry changed", {field("entry", each.listed.instance.get()),
                                    field("state", burdockstep::name_of(each.state)),
                                    field("incarnation", each.incarnation.get())});
    }
}

void peers_task::publish_members()
{
    if (directory_.change_count() == published_changes_ || publication_scheduled_)
        return;
    duration const since_last = context_.clock.now() - last_published_at_;
    if (since_last >= min_publish_interval) {
        publish_members_now();
        return;
    }
    publication_scheduled_ = true;
    publish_timer_.start_once(min_publish_interval - since_last, [this] {
        publication_scheduled_ = false;
        publish_members_now();
    });
}

void peers_task::publish_members_now()
{
    published_changes_ = directory_.change_count();
    last_published_at_ = context_.clock.now();
    auto members = directory_.members();
    targets_.rebuild(context_.settings, members);
    log_state_changes(members);
    context_.post(members_changed{.members = std::move(members)});
}

void peers_task::receive(event const& new_event)
{
    if (auto const* const received_records = std::get_if<entry_records_received>(&new_event)) {
        merge_entry_records(*received_records);
    }
    else if (auto const* const applied_document =
                 std::get_if<routing_document_applied>(&new_event)) {
        configuration_version_ = applied_document->document->version;
        send_heartbeats();
    }
    else if (auto const* const applied_directives = std::get_if<directives_applied>(&new_event)) {
        bool const is_newer = applied_directives->position > directives_position_;
        directives_position_ = std::max(directives_position_, applied_directives->position);
        if (is_newer)
            send_heartbeats();
    }
    else if (auto const* const leaving = std::get_if<upstream_leaving>(&new_event)) {
        if (!leaving->from_peer &&
            leaving_upstreams_.record_leaving(leaving->report, context_.clock.now()))
            send_heartbeats();
    }
    else if (auto const* const outgoing_report = std::get_if<slot_report_ready>(&new_event)) {
        send(outgoing_report->report, targets_of(outgoing_report->audience));
    }
    else if (auto const* const sums = std::get_if<place_report_ready>(&new_event)) {
        send(sums->report, targets_of(sums->audience));
    }
    else if (auto const* const update = std::get_if<registry_update_ready>(&new_event)) {
        send_to_all(update->update);
    }
    else if (auto const* const listed = std::get_if<entries_update_ready>(&new_event)) {
        send_to_all(listed->update);
    }
    else if (auto const* const confirmation = std::get_if<confirmation_message_ready>(&new_event)) {
        send(confirmation->message, {confirmation->to});
    }
    else if (auto const* const repair = std::get_if<registry_message_ready>(&new_event)) {
        send(repair->message, {repair->to});
    }
    else if (auto const* const told = std::get_if<entry_capacities_ready>(&new_event)) {
        send_to_all(told->capacities);
    }
    else if (auto const* const quota = std::get_if<quota_message_ready>(&new_event)) {
        std::visit([&](auto const& message) { send(message, {quota->to}); }, quota->message);
    }
    else if (std::holds_alternative<stop_begun>(new_event)) {
        own_state_ = wire::member_state::stopping;
        send_heartbeats();
    }
}

void peers_task::write_metrics(std::string& out) const
{
    std::size_t serving_entries = 0;
    std::size_t entries_of_known_capacity = 0;
    for (member_view const& each : directory_.members()) {
        serving_entries += each.is_serving() ? 1 : 0;
        entries_of_known_capacity += each.listed.capacity.is_known() ? 1 : 0;
    }
    fmt::format_to(std::back_inserter(out), "burdockstep_entries_serving {}\n", serving_entries);
    fmt::format_to(std::back_inserter(out), "burdockstep_entries_of_known_capacity {}\n",
                   entries_of_known_capacity);
    fmt::format_to(std::back_inserter(out), "burdockstep_datagrams_dropped_total {}\n",
                   dropped_datagrams_);
    datagrams_.write_metrics(out);
}

} // namespace burdockstep::gateway
