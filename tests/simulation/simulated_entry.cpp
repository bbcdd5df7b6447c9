#include "tests/simulation/simulated_entry.hpp"

#include "libraries/configuration_sync/configuration_records.hpp"

#include <utility>

namespace burdockstep::testing {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration poll_interval = std::chrono::milliseconds(500);
constexpr duration epoch_length = std::chrono::seconds(2);
/// The longest wait for the answer to a send; a shorter time left of the request comes first.
constexpr duration answer_timeout = std::chrono::seconds(5);
constexpr membership_options default_membership{};

} // namespace

simulated_entry::simulated_entry(simulation& simulation, listed_member listed)
    : simulation_(simulation), listed_(std::move(listed))
{}

configuration_version simulated_entry::version() const
{
    auto const in_force = follower_->in_force();
    return in_force ? in_force->version : configuration_version{};
}

bool simulated_entry::uninterrupted_for(duration span) const
{
    return is_running() && !is_paused() && simulation_.queue_.now() - uninterrupted_since_ >= span;
}

void simulated_entry::start()
{
    ++run_number_;
    time_point const now = simulation_.queue_.now();
    uninterrupted_since_ = now;
    adopted_version_ = 0;
    incarnation_id const incarnation(simulation_.random_.next());
    auto const started =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    engine_ = std::make_unique<entry_engine>(
        entry_engine_options{.instance = listed_.instance,
                             .region = listed_.region,
                             .place = listed_.place,
                             .incarnation = incarnation,
                             .tickets = {.epoch_length = epoch_length, .max_records = 60}},
        simulation_.random_, now);
    directory_ = std::make_unique<member_directory>(
        default_membership, listed_.instance,
        member_run{.incarnation = incarnation,
                   .started_ms = static_cast<std::uint64_t>(started.count())},
        now);
    follower_ = std::make_unique<configuration_follower>(
        now + configuration_follower::adoption_delay_after_start);
    std::vector<listed_member> all_members;
    for (auto const& each : simulation_.entries_)
        all_members.push_back(each->listed());
    directory_->apply_list(all_members, now);
    tick();
    send_heartbeat();
    poll_store();
}

void simulated_entry::crash()
{
    ++run_number_;
    paused_until_ = simulation_.queue_.now();
    engine_.reset();
    for (auto const& [id, call] : std::exchange(pending_calls_, {}))
        call.handler({.end = send_end::broken});
    pending_answers_.clear();
    current_upstreams_.clear();
    leaving_upstreams_ = {};
}

void simulated_entry::pause(duration span)
{
    paused_until_ = simulation_.queue_.now() + span;
    uninterrupted_since_ = paused_until_;
}

void simulated_entry::run_when_resumed(std::function<void()> action)
{
    std::uint64_t const run_number = run_number_;
    if (is_paused()) {
        simulation_.queue_.at(paused_until_, [this, run_number, action = std::move(action)] {
            if (run_number == run_number_ && is_running())
                run_when_resumed(action);
        });
        return;
    }
    action();
}

void simulated_entry::tick()
{
    execute(engine_->tick(simulation_.queue_.now()));
    execute(follower_->tick(simulation_.queue_.now()));
    std::uint64_t const run_number = run_number_;
    simulation_.queue_.after(tick_interval, [this, run_number] {
        if (run_number == run_number_ && is_running())
            run_when_resumed([this] { tick(); });
    });
}

void simulated_entry::send_heartbeat()
{
    time_point const now = simulation_.queue_.now();
    directory_->mark_silent_as_lost(now);
    directory_->set_own_state(wire::member_state::serving, engine_->current_epoch(), version());
    wire::heartbeat message = directory_->make_heartbeat();
    message.head = follower_->head_in_force();
    leaving_upstreams_.append_to_heartbeat(message, now);
    for (address const& each : directory_->heartbeat_targets())
        simulation_.send_datagram(listed_.peers, each, message);
    for (wire::member_records const& further : directory_->make_further_updates()) {
        for (address const& each : directory_->heartbeat_targets())
            simulation_.send_datagram(listed_.peers, each, further);
    }
    wire::heartbeat probe = directory_->make_answer();
    probe.wants_answer = true;
    probe.head = follower_->head_in_force();
    for (address const& each : directory_->take_probe_targets(now))
        simulation_.send_datagram(listed_.peers, each, probe);
    for (entry_engine::outgoing_pool_report const& each : engine_->make_pool_reports()) {
        for (address const& receiver : each.receivers)
            simulation_.send_datagram(listed_.peers, receiver, each.report);
    }
    engine_->update_members(directory_->members());
    std::uint64_t const run_number = run_number_;
    simulation_.queue_.after(default_membership.heartbeat_interval, [this, run_number] {
        if (run_number == run_number_ && is_running())
            run_when_resumed([this] { send_heartbeat(); });
    });
}

void simulated_entry::poll_store()
{
    simulation_.store_.read(head_row_key, [this](store_status status,
                                                 std::optional<table_row> const& row) {
        if (status != store_status::done || !row)
            return;
        configuration_head_record const head =
            handle_failure([&] { return parse_head_record(row->value); },
                           [](failure const&) { return configuration_head_record{}; });
        execute(follower_->handle_store_head(
            {.version = head.version.get(), .document = head.document}, simulation_.queue_.now()));
    });
    std::uint64_t const run_number = run_number_;
    simulation_.queue_.after(poll_interval, [this, run_number] {
        if (run_number == run_number_ && is_running())
            run_when_resumed([this] { poll_store(); });
    });
}

void simulated_entry::receive(address const& from, wire::message const& message)
{
    if (!is_running() || !directory_->is_listed_peer(from))
        return;
    run_when_resumed([this, from, message] {
        time_point const now = simulation_.queue_.now();
        if (auto const* const report = std::get_if<wire::pool_report>(&message))
            engine_->record_pool_report(*report, now);
        if (auto const* const records = std::get_if<wire::member_records>(&message))
            directory_->handle_records(*records, now);
        auto const* const received_heartbeat = std::get_if<wire::heartbeat>(&message);
        if (received_heartbeat == nullptr)
            return;
        directory_->handle_heartbeat(*received_heartbeat, now);
        if (received_heartbeat->wants_answer) {
            wire::heartbeat answer = directory_->make_answer();
            answer.head = follower_->head_in_force();
            simulation_.send_datagram(listed_.peers, from, answer);
        }
        for (wire::member_records const& each : directory_->make_repairs(*received_heartbeat, now))
            simulation_.send_datagram(listed_.peers, from, each);
        engine_->update_members(directory_->members());
        for (leaving_report const& each :
             leaving_upstreams_.record_leaving(*received_heartbeat, now))
            engine_->mark_leaving(each.upstream, now, now);
        execute(follower_->handle_peer_head(received_heartbeat->head, from, now));
    });
}

void simulated_entry::execute(std::vector<follower_command> const& commands)
{
    for (follower_command const& each : commands) {
        wire::configuration_head const newest_head = follower_->newest_head();
        if (auto const* const fetch = std::get_if<fetch_object_command>(&each)) {
            simulation_.store_.get(fetch->name,
                                   [&](store_status, std::optional<std::string> const& text) {
                                       if (text)
                                           execute(follower_->handle_document(
                                               newest_head, *text, simulation_.queue_.now()));
                                   });
        }
        else if (auto const* const ask = std::get_if<ask_peer_command>(&each)) {
            for (auto const& peer : simulation_.entries_) {
                bool const is_asked_peer = peer->listed().peers == ask->peer && peer->is_running();
                auto const peer_configuration = is_asked_peer ? peer->in_force() : nullptr;
                if (peer_configuration)
                    execute(follower_->handle_document(
                        {.version = peer_configuration->version.get(),
                         .document = peer_configuration->name},
                        peer_configuration->text, simulation_.queue_.now()));
            }
        }
        else if (auto const* const adopt = std::get_if<adopt_command>(&each)) {
            if (adopt->adopted->version.get() <= adopted_version_)
                simulation_.add_violation(
                    listed_.instance.get() +
                    " adopted a configuration that is not newer than the one before");
            adopted_version_ = adopt->adopted->version.get();
            execute(engine_->apply_configuration(adopt->adopted, simulation_.queue_.now()));
        }
    }
}

void simulated_entry::receive(simulated_request const& request,
                              simulation::answer_handler const& handler)
{
    if (!is_running()) {
        handler({.end = send_end::not_connected});
        return;
    }
    run_when_resumed([this, request, handler] {
        request_id const id(next_request_id_++);
        simulation_.trace(request, "arrives at " + listed_.instance.get());
        pending_calls_[id] = {.request = request, .handler = handler};
        execute(engine_->handle_arrival({.id = id,
                                         .service = request.service,
                                         .presented = request.presented,
                                         .request = digest_of(request.body),
                                         .deadline = request.time_left,
                                         .route = request.route},
                                        simulation_.queue_.now()));
    });
}

void simulated_entry::send(request_id id, address const& to, simulated_request const& request)
{
    std::uint64_t const run_number = run_number_;
    auto const answered = std::make_shared<bool>(false);
    auto const abandoned = std::make_shared<bool>(false);
    abandoned_flags_[id] = abandoned;
    auto const on_answer = [this, run_number, id, answered,
                            abandoned](simulated_answer const& answer) {
        if (run_number != run_number_ || !is_running() || std::exchange(*answered, true))
            return;
        run_when_resumed([this, id, answer, abandoned] {
            // As in the daemon, the answer to an abandoned send is dropped, even if it arrived
            // while the entry was paused.
            if (*abandoned)
                return;
            time_point const now = simulation_.queue_.now();
            if (answer.from_leaving_upstream && current_upstreams_.contains(id)) {
                simulation_.record_leaving_notice(*this, current_upstreams_.at(id));
                leaving_upstreams_.record_leaving(
                    {.upstream = current_upstreams_.at(id), .incarnation = {}, .reported_at = now},
                    now);
                engine_->mark_leaving(current_upstreams_.at(id), now, now);
            }
            if (answer.end == send_end::complete) {
                pending_answers_[id] = answer;
                execute(engine_->handle_answer_head(id, answer.kind, now));
            }
            execute(engine_->handle_send_end(
                id, answer.end, retained_answer{.status = 200, .body = answer.body}, now));
        });
    };
    simulation_.send_request(to, request, on_answer);
    simulation_.queue_.after(std::min(request.time_left, answer_timeout),
                             [on_answer] { on_answer({.end = send_end::broken}); });
}

void simulated_entry::reply(request_id id, simulated_answer const& answer)
{
    auto const found = pending_calls_.find(id);
    if (found == pending_calls_.end())
        return;
    simulation_.trace(found->second.request,
                      fmt::format("{} replies with end {}, kind {}", listed_.instance.get(),
                                  static_cast<int>(answer.end), static_cast<int>(answer.kind)));
    auto const handler = std::move(found->second.handler);
    pending_calls_.erase(found);
    pending_answers_.erase(id);
    current_upstreams_.erase(id);
    abandoned_flags_.erase(id);
    handler(answer);
}

void simulated_entry::execute(entry_engine::commands const& commands)
{
    for (entry_command const& command : commands) {
        if (auto const* const upstream_send = std::get_if<send_upstream>(&command)) {
            simulation_.check_new_work(*this, upstream_send->upstream);
            current_upstreams_[upstream_send->id] = upstream_send->upstream;
            simulated_request request = pending_calls_.at(upstream_send->id).request;
            request.time_left = upstream_send->time_left;
            send(upstream_send->id, upstream_send->to, request);
        }
        else if (auto const* const peer = std::get_if<send_peer>(&command)) {
            current_upstreams_.erase(peer->id);
            simulated_request request = pending_calls_.at(peer->id).request;
            request.time_left = peer->time_left;
            request.presented = peer->present;
            request.route = peer->route;
            send(peer->id, peer->to, request);
        }
        else if (auto const* const completed = std::get_if<complete_answer>(&command)) {
            simulated_answer const answer = pending_answers_.at(completed->id);
            reply(completed->id, answer);
        }
        else if (auto const* const abandoned_send = std::get_if<abandon_send>(&command)) {
            *abandoned_flags_.at(abandoned_send->id) = true;
        }
        else if (auto const* const cut = std::get_if<truncate_answer>(&command)) {
            reply(cut->id, {.end = send_end::broken});
        }
        else if (auto const* const kept = std::get_if<reply_retained_answer>(&command)) {
            reply(kept->id, {.kind = answer_head_kind::answer, .body = kept->answer->body});
        }
        else if (auto const* const refused = std::get_if<reply_not_run>(&command)) {
            reply(refused->id, {.kind = answer_head_kind::not_run, .next = refused->next});
        }
        else if (auto const* const unknown = std::get_if<reply_unknown>(&command)) {
            reply(unknown->id, {.kind = answer_head_kind::unknown});
        }
        else if (auto const* const conflict = std::get_if<reply_conflict>(&command)) {
            simulation_.add_violation("a ticket was rejected as belonging to another request");
            reply(conflict->id, {.kind = answer_head_kind::unknown});
        }
        else if (auto const* const answer_gone = std::get_if<reply_answer_not_retained>(&command)) {
            reply(answer_gone->id, {.kind = answer_head_kind::answer,
                                    .body = pending_calls_.at(answer_gone->id).request.id});
        }
    }
}

} // namespace burdockstep::testing
