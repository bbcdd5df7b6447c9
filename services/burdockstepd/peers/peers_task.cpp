#include "services/burdockstepd/peers/peers_task.hpp"

#include "libraries/membership/listed_member_wire.hpp"
#include "libraries/wire/codec.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

constexpr membership_options membership{};
constexpr framed_stream_limits stream_limits{.max_answer_bytes = wire::max_stream_message_bytes};
constexpr duration seed_interval = std::chrono::milliseconds(500);
/// Without a change the members are told again after this time, for the ages that operators see.
constexpr duration longest_unpublished = std::chrono::seconds(1);
constexpr unsigned most_bind_tries = 16;

} // namespace

peers_task::peers_task(daemon_context& context)
    : context_(context),
      directory_(membership, context.settings.instance, context.run, context.clock.now()),
      heartbeat_timer_(context.loop), seed_timer_(context.loop)
{}

result<void> peers_task::try_start()
{
    BOOST_LEAF_CHECK(try_bind());
    listed_member own{.instance = context_.settings.instance,
                      .place = context_.settings.place,
                      .region = context_.settings.region,
                      .callers = context_.settings.callers,
                      .operators = context_.settings.operators,
                      .peers = context_.settings.peers};
    directory_.apply_list({own}, context_.clock.now());
    heartbeat_timer_.start_periodic(membership.heartbeat_interval, [this] { send_heartbeats(); });
    seed_timer_.start_periodic(seed_interval, [this] { ask_seeds(); });
    publish_members();
    return {};
}

result<void> peers_task::try_bind()
{
    // UDP and TCP share one port; where the system picks it, the TCP one may be taken.
    bool const picked = context_.settings.peers.port == 0;
    for (unsigned tries = 1;; ++tries) {
        socket_ = std::make_unique<udp_socket>(context_.loop);
        BOOST_LEAF_AUTO(bound,
                        socket_->try_bind(context_.settings.peers,
                                          [this](address const& from, std::string_view bytes) {
                                              on_datagram(from, bytes);
                                          }));
        server_ = std::make_unique<framed_server>(context_.loop, stream_limits);
        bool const last = !picked || tries == most_bind_tries;
        auto const listen = [&] {
            return server_->try_listen(bound, [this](address const& from, std::string_view bytes) {
                return answer_question(from, bytes);
            });
        };
        if (last) {
            BOOST_LEAF_CHECK(listen());
            context_.settings.peers = bound;
            return {};
        }
        bool const listening = handle_failure(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(listen());
                return true;
            },
            [](failure const&) { return false; });
        if (listening) {
            context_.settings.peers = bound;
            return {};
        }
    }
}

bool peers_task::is_seed(address const& from) const
{
    auto const& seeds = context_.settings.seeds;
    return std::find(seeds.begin(), seeds.end(), from) != seeds.end();
}

void peers_task::on_datagram(address const& from, std::string_view bytes)
{
    if (!directory_.is_listed_peer(from) && !is_seed(from)) {
        ++dropped_datagrams_;
        log_.debug("datagram from an unlisted address dropped", {field("from", from.text())});
        return;
    }
    auto const take_message = [&]() -> result<void> {
        BOOST_LEAF_AUTO(message, wire::decode(bytes));
        if (auto const* const beat = std::get_if<wire::heartbeat>(&message))
            take(*beat, from);
        else if (auto const* const report = std::get_if<wire::pool_report>(&message))
            context_.post(pool_report_heard{.report = *report});
        return {};
    };
    handle_failure(take_message, [&](failure const& error) {
        ++dropped_datagrams_;
        log_.warning("malformed datagram dropped",
                     {field("from", from.text()), field("why", error.message),
                      field("dropped", dropped_datagrams_)});
    });
}

void peers_task::take(wire::heartbeat const& beat, address const& from)
{
    time_point const now = context_.clock.now();
    directory_.handle_heartbeat(beat, now);
    context_.post(peer_head_heard{.head = beat.head, .peer = from});
    for (wire::leaving_upstream const& each : beat.leaving.get()) {
        context_.post(upstream_leaving{.name = upstream_name(each.name.get()),
                                       .sign = now - std::chrono::milliseconds(each.age_ms),
                                       .source = leaving_source::peer});
    }
    publish_members();
}

void peers_task::send_heartbeats()
{
    time_point const now = context_.clock.now();
    directory_.mark_silent_as_lost(now);
    configuration_version const version =
        configuration_ ? configuration_->version : configuration_version{};
    directory_.set_own_state(own_state_, epoch_, version);
    wire::heartbeat beat = directory_.make_heartbeat();
    if (configuration_)
        beat.head = {.version = version.get(), .document = configuration_->name};
    leaving_.expire(now);
    leaving_.append_to_heartbeat(beat, now);
    std::string const bytes = wire::encode(beat);
    for (address const& each : directory_.heartbeat_targets())
        socket_->send(each, bytes);
    publish_members();
}

void peers_task::publish_members()
{
    time_point const now = context_.clock.now();
    bool const overdue = now - published_at_ >= longest_unpublished;
    if (directory_.change_count() == published_changes_ && !overdue)
        return;
    published_at_ = now;
    published_changes_ = directory_.change_count();
    context_.post(members_changed{.members = directory_.members()});
}

void peers_task::ask_seeds()
{
    // Only until the platform or a peer has told who the others are.
    auto const& seeds = context_.settings.seeds;
    if (has_list_ || seeds.empty())
        return;
    address const& seed = seeds[next_seed_++ % seeds.size()];
    if (seed != context_.settings.peers)
        ask_for_state(seed);
}

void peers_task::ask_for_state(address const& peer)
{
    std::uint64_t const known = configuration_ ? configuration_->version.get() : 0;
    std::string const question = wire::encode(wire::state_request{.known_version = known});
    ask_framed_question(
        context_.loop, context_.settings.peers, peer, question, stream_limits,
        [this](std::optional<std::string> const& bytes) {
            if (!bytes)
                return;
            auto const take_answer = [&]() -> result<void> {
                BOOST_LEAF_AUTO(message, wire::decode(*bytes));
                if (auto const* const answer = std::get_if<wire::state_answer>(&message))
                    take_state(*answer);
                return {};
            };
            handle_failure(take_answer, [&](failure const& error) {
                log_.warning("malformed state from a peer dropped", {field("why", error.message)});
            });
        });
}

void peers_task::take_state(wire::state_answer const& answer)
{
    if (!answer.document.get().empty())
        context_.post(peer_document_received{.head = answer.head, .text = answer.document.get()});
    if (has_list_ || answer.instances.get().empty())
        return;
    std::vector<listed_member> entries;
    for (wire::listed_instance const& each : answer.instances.get())
        entries.push_back(from_wire(each));
    context_.post(instance_list_read{.entries = std::move(entries)});
}

std::optional<std::string> peers_task::answer_question(address const& from,
                                                       std::string_view question)
{
    bool const listed = directory_.is_listed_ip(from.ip);
    auto const asked = handle_failure(
        [&]() -> result<std::optional<wire::state_request>> {
            BOOST_LEAF_AUTO(message, wire::decode(question));
            auto const* const request = std::get_if<wire::state_request>(&message);
            return request == nullptr ? std::nullopt : std::optional(*request);
        },
        [](failure const&) { return std::optional<wire::state_request>{}; });
    if (!listed || !asked) {
        log_.warning("question of a peer refused", {field("from", from.text())});
        return std::nullopt;
    }
    wire::state_answer answer;
    if (configuration_) {
        answer.head = {.version = configuration_->version.get(), .document = configuration_->name};
        if (configuration_->version.get() > asked->known_version)
            answer.document = wire::document_text(configuration_->text);
    }
    for (listed_member const& each : directory_.list())
        answer.instances.add(to_wire(each));
    return wire::encode(answer);
}

void peers_task::receive(event const& what)
{
    if (auto const* const list = std::get_if<instance_list_read>(&what)) {
        has_list_ = true;
        directory_.apply_list(list->entries, context_.clock.now());
        publish_members();
    }
    else if (auto const* const adopted = std::get_if<configuration_adopted>(&what)) {
        configuration_ = adopted->adopted;
        // Told at once, so that a change doesn't wait a heartbeat interval at each hop.
        send_heartbeats();
    }
    else if (auto const* const wanted = std::get_if<peer_document_wanted>(&what)) {
        ask_for_state(wanted->peer);
    }
    else if (auto const* const leaving = std::get_if<upstream_leaving>(&what)) {
        bool const is_news =
            leaving_.record_leaving(leaving->name, leaving->sign, context_.clock.now());
        if (is_news && leaving->source != leaving_source::peer)
            send_heartbeats();
    }
    else if (auto const* const made = std::get_if<pool_report_made>(&what)) {
        std::string const bytes = wire::encode(made->report);
        for (address const& each : made->receivers)
            socket_->send(each, bytes);
    }
    else if (auto const* const epoch = std::get_if<epoch_opened>(&what)) {
        epoch_ = epoch->epoch;
        send_heartbeats();
    }
    else if (std::holds_alternative<stop_begun>(what)) {
        own_state_ = wire::member_state::stopping;
        send_heartbeats();
    }
}

} // namespace burdockstep
