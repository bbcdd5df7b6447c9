#include "services/burdockstepd/peers/peers_task.hpp"

#include "services/burdockstepd/memory_limits.hpp"

#include "libraries/membership/listed_member_wire.hpp"
#include "libraries/wire/codec.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

constexpr membership_options membership_settings{};
constexpr duration seed_request_interval = std::chrono::milliseconds(500);
/// An unchanged directory is published again after this time, so that operators see recent values
/// for the time since each entry was last heard.
constexpr duration max_publish_interval = std::chrono::seconds(1);
constexpr unsigned max_bind_attempts = 16;

} // namespace

peers_task::peers_task(daemon_context& context)
    : context_(context), directory_(membership_settings, context.settings.instance, context.own_run,
                                    context.clock.now()),
      state_request_client_(context.loop, make_peer_stream_limits(context.settings)),
      heartbeat_timer_(context.loop), seed_request_timer_(context.loop)
{}

result<void> peers_task::try_start()
{
    BOOST_LEAF_CHECK(try_bind());
    listed_member own_entry{.instance = context_.settings.instance,
                            .place = context_.settings.place,
                            .region = context_.settings.region,
                            .callers = context_.settings.callers,
                            .operators = context_.settings.operators,
                            .peers = context_.settings.peers};
    directory_.apply_list({own_entry}, context_.clock.now());
    heartbeat_timer_.start_periodic(membership_settings.heartbeat_interval,
                                    [this] { send_heartbeats(); });
    seed_request_timer_.start_periodic(seed_request_interval,
                                       [this] { request_state_from_next_seed(); });
    publish_members();
    return {};
}

result<void> peers_task::try_bind()
{
    // UDP and TCP use the same port number. If the system chose it for UDP, it may be in use for
    // TCP; then another one is tried.
    bool const is_system_chosen_port = context_.settings.peers.port == 0;
    for (unsigned attempt = 1;; ++attempt) {
        peer_socket_ = std::make_unique<udp_socket>(context_.loop);
        BOOST_LEAF_AUTO(bound_address, peer_socket_->try_bind(
                                           context_.settings.peers,
                                           [this](address const& sender, std::string_view bytes) {
                                               on_datagram(sender, bytes);
                                           }));
        state_request_server_ = std::make_unique<framed_server>(
            context_.loop, make_peer_stream_limits(context_.settings));
        bool const is_last_attempt = !is_system_chosen_port || attempt == max_bind_attempts;
        auto const listen_on_tcp = [&] {
            return state_request_server_->try_listen(
                bound_address, [this](address const& sender, std::string_view bytes) {
                    return answer_state_request(sender, bytes);
                });
        };
        if (is_last_attempt) {
            BOOST_LEAF_CHECK(listen_on_tcp());
            context_.settings.peers = bound_address;
            return {};
        }
        bool const is_listening = handle_failure(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(listen_on_tcp());
                return true;
            },
            [](failure const&) { return false; });
        if (is_listening) {
            context_.settings.peers = bound_address;
            return {};
        }
    }
}

bool peers_task::is_seed_address(address const& sender) const
{
    auto const& seeds = context_.settings.seeds;
    return std::find(seeds.begin(), seeds.end(), sender) != seeds.end();
}

void peers_task::on_datagram(address const& sender, std::string_view bytes)
{
    if (!directory_.is_listed_peer(sender) && !is_seed_address(sender)) {
        ++dropped_datagrams_;
        log_.debug("dropped datagram: sender is neither a listed peer nor a seed",
                   {field("from", sender.text())});
        return;
    }
    auto const process_message = [&]() -> result<void> {
        BOOST_LEAF_AUTO(message, wire::decode(bytes));
        if (auto const* const heartbeat_message = std::get_if<wire::heartbeat>(&message))
            process_heartbeat(*heartbeat_message, sender);
        else if (auto const* const records = std::get_if<wire::member_records>(&message))
            directory_.handle_records(*records, context_.clock.now());
        else if (auto const* const report = std::get_if<wire::pool_report>(&message))
            context_.post(pool_report_received{.report = *report});
        return {};
    };
    handle_failure(process_message, [&](failure const& error) {
        ++dropped_datagrams_;
        log_.warning("dropped malformed datagram",
                     {field("from", sender.text()), field("why", error.message),
                      field("dropped", dropped_datagrams_)});
    });
}

void peers_task::process_heartbeat(wire::heartbeat const& heartbeat_message, address const& sender)
{
    time_point const now = context_.clock.now();
    directory_.handle_heartbeat(heartbeat_message, now);
    if (heartbeat_message.wants_answer) {
        wire::heartbeat answer = directory_.make_answer();
        answer.head = own_head();
        send(answer, {sender});
    }
    for (wire::member_records const& each : directory_.make_repairs(heartbeat_message, now))
        send(each, {sender});
    context_.post(peer_configuration_head_received{.head = heartbeat_message.head, .peer = sender});
    for (wire::leaving_upstream const& each : heartbeat_message.leaving.get()) {
        context_.post(upstream_leaving{.name = upstream_name(each.name.get()),
                                       .observed_at = now - std::chrono::milliseconds(each.age_ms),
                                       .reported_by = leaving_report_source::peer});
    }
    publish_members();
}

void peers_task::send_heartbeats()
{
    time_point const now = context_.clock.now();
    directory_.mark_silent_as_lost(now);
    configuration_version const version =
        configuration_ ? configuration_->version : configuration_version{};
    directory_.set_own_state(own_state_, ticket_epoch_, version);
    wire::heartbeat heartbeat_message = directory_.make_heartbeat();
    heartbeat_message.head = own_head();
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
    probe.head = own_head();
    send(probe, asked);
}

void peers_task::send(wire::message const& message, std::vector<address> const& targets)
{
    std::string const bytes = wire::encode(message);
    for (address const& each : targets)
        peer_socket_->send(each, bytes);
}

wire::configuration_head peers_task::own_head() const
{
    if (!configuration_)
        return {};
    return {.version = configuration_->version.get(), .document = configuration_->name};
}

void peers_task::publish_members()
{
    time_point const now = context_.clock.now();
    bool const is_publish_due = now - last_published_at_ >= max_publish_interval;
    if (directory_.change_count() == last_published_change_ && !is_publish_due)
        return;
    last_published_at_ = now;
    last_published_change_ = directory_.change_count();
    context_.post(members_changed{.members = directory_.members()});
}

void peers_task::request_state_from_next_seed()
{
    // Seeds are only needed until an instance list has been read from the platform or a peer.
    auto const& seeds = context_.settings.seeds;
    if (has_instance_list_ || seeds.empty())
        return;
    address const& seed = seeds[next_seed_index_++ % seeds.size()];
    if (seed != context_.settings.peers)
        request_state(seed);
}

void peers_task::request_state(address const& peer)
{
    std::uint64_t const own_version = configuration_ ? configuration_->version.get() : 0;
    std::string const encoded_request =
        wire::encode(wire::state_request{.known_version = own_version});
    auto const on_end = [this, peer](framed_answer const& answer) {
        if (answer.exceeds_limit) {
            log_.warning("a peer's answer exceeds a limit; the call counts as unanswered",
                         {field("from", peer.text())});
        }
        if (answer.content)
            process_encoded_answer(*answer.content);
    };
    state_request_client_.ask(context_.settings.peers, peer, encoded_request, on_end);
}

void peers_task::process_encoded_answer(std::string_view bytes)
{
    auto const process_answer = [&]() -> result<void> {
        BOOST_LEAF_AUTO(message, wire::decode(bytes));
        if (auto const* const answer = std::get_if<wire::state_answer>(&message))
            process_state_answer(*answer);
        return {};
    };
    handle_failure(process_answer, [&](failure const& error) {
        log_.warning("dropped malformed state answer from a peer", {field("why", error.message)});
    });
}

void peers_task::process_state_answer(wire::state_answer const& answer)
{
    if (!answer.document.get().empty())
        context_.post(
            peer_configuration_received{.head = answer.head, .text = answer.document.get()});
    if (has_instance_list_ || answer.instances.get().empty())
        return;
    std::vector<listed_member> entries;
    for (wire::listed_instance const& each : answer.instances.get())
        entries.push_back(from_wire(each));
    context_.post(instance_list_received{.entries = std::move(entries)});
}

std::optional<std::string> peers_task::answer_state_request(address const& sender,
                                                            std::string_view encoded_request)
{
    bool const is_listed_sender = directory_.is_listed_ip(sender.ip);
    auto const decoded_request = handle_failure(
        [&]() -> result<std::optional<wire::state_request>> {
            BOOST_LEAF_AUTO(message, wire::decode(encoded_request));
            auto const* const request = std::get_if<wire::state_request>(&message);
            return request == nullptr ? std::nullopt : std::optional(*request);
        },
        [](failure const&) { return std::optional<wire::state_request>{}; });
    if (!is_listed_sender || !decoded_request) {
        log_.warning("refused state request: sender is not listed or the request is malformed",
                     {field("from", sender.text())});
        return std::nullopt;
    }
    wire::state_answer answer;
    if (configuration_) {
        answer.head = own_head();
        if (configuration_->version.get() > decoded_request->known_version)
            answer.document = wire::document_text(configuration_->text);
    }
    for (listed_member const& each : directory_.list())
        answer.instances.add(to_wire(each));
    return wire::encode(answer);
}

void peers_task::receive(event const& new_event)
{
    if (auto const* const received_list = std::get_if<instance_list_received>(&new_event)) {
        has_instance_list_ = true;
        directory_.apply_list(received_list->entries, context_.clock.now());
        publish_members();
    }
    else if (auto const* const applied = std::get_if<configuration_applied>(&new_event)) {
        configuration_ = applied->configuration;
        // Sent at once, so that a new version isn't delayed by a heartbeat interval at each hop.
        send_heartbeats();
    }
    else if (auto const* const configuration_request =
                 std::get_if<peer_configuration_requested>(&new_event)) {
        request_state(configuration_request->peer);
    }
    else if (auto const* const leaving_event = std::get_if<upstream_leaving>(&new_event)) {
        bool const is_newly_reported =
            leaving_upstreams_.record_leaving({.upstream = leaving_event->name,
                                               .incarnation = {},
                                               .reported_at = leaving_event->observed_at},
                                              context_.clock.now());
        if (is_newly_reported && leaving_event->reported_by != leaving_report_source::peer)
            send_heartbeats();
    }
    else if (auto const* const ready_report = std::get_if<pool_report_ready>(&new_event)) {
        send(ready_report->report, ready_report->receivers);
    }
    else if (auto const* const epoch = std::get_if<ticket_epoch_opened>(&new_event)) {
        ticket_epoch_ = epoch->epoch;
        send_heartbeats();
    }
    else if (std::holds_alternative<stop_begun>(new_event)) {
        own_state_ = wire::member_state::stopping;
        send_heartbeats();
    }
}

} // namespace burdockstep
