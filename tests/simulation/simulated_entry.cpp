#include "tests/simulation/simulated_entry.hpp"

#include "libraries/configuration_sync/configuration_records.hpp"

#include <utility>

namespace burdockstep::testing {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration poll_interval = std::chrono::milliseconds(500);
constexpr duration epoch_length = std::chrono::seconds(2);
constexpr duration stall_limit = std::chrono::seconds(5);
constexpr membership_options membership{};

} // namespace

simulated_entry::simulated_entry(world& world, listed_member listed)
    : world_(world), listed_(std::move(listed))
{}

configuration_version simulated_entry::version() const
{
    auto const in_force = follower_->in_force();
    return in_force ? in_force->version : configuration_version{};
}

bool simulated_entry::steady_for(duration span) const
{
    return is_running() && !is_paused() && world_.queue_.now() - steady_since_ >= span;
}

void simulated_entry::start()
{
    ++run_;
    time_point const now = world_.queue_.now();
    steady_since_ = now;
    last_version_ = 0;
    incarnation_id const incarnation(world_.random_.next());
    auto const started =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    engine_ = std::make_unique<entry_engine>(
        entry_engine_options{.instance = listed_.instance,
                             .region = listed_.region,
                             .place = listed_.place,
                             .incarnation = incarnation,
                             .tickets = {.epoch_length = epoch_length, .max_records = 60}},
        world_.random_, now);
    directory_ = std::make_unique<member_directory>(
        membership, listed_.instance,
        member_run{.incarnation = incarnation,
                   .started_ms = static_cast<std::uint64_t>(started.count())},
        now);
    follower_ = std::make_unique<configuration_follower>(
        now + configuration_follower::adoption_delay_after_start);
    std::vector<listed_member> everybody;
    for (auto const& each : world_.entries_)
        everybody.push_back(each->listed());
    directory_->apply_list(everybody, now);
    tick();
    beat();
    poll_store();
}

void simulated_entry::crash()
{
    ++run_;
    paused_until_ = world_.queue_.now();
    engine_.reset();
    for (auto const& [id, call] : std::exchange(calls_, {}))
        call.handler({.end = send_end::broken});
    heads_.clear();
    sent_to_.clear();
    leaving_ = {};
}

void simulated_entry::pause(duration span)
{
    paused_until_ = world_.queue_.now() + span;
    steady_since_ = paused_until_;
}

void simulated_entry::in_this_run(std::function<void()> action)
{
    std::uint64_t const run = run_;
    if (is_paused()) {
        world_.queue_.at(paused_until_, [this, run, action = std::move(action)] {
            if (run == run_ && is_running())
                in_this_run(action);
        });
        return;
    }
    action();
}

void simulated_entry::tick()
{
    carry_out(engine_->tick(world_.queue_.now()));
    carry_out(follower_->tick(world_.queue_.now()));
    std::uint64_t const run = run_;
    world_.queue_.after(tick_interval, [this, run] {
        if (run == run_ && is_running())
            in_this_run([this] { tick(); });
    });
}

void simulated_entry::beat()
{
    time_point const now = world_.queue_.now();
    directory_->mark_silent_as_lost(now);
    directory_->set_own_state(wire::member_state::serving, engine_->current_epoch(), version());
    wire::heartbeat message = directory_->make_heartbeat();
    message.head = follower_->head_in_force();
    leaving_.append_to_heartbeat(message, now);
    for (address const& each : directory_->heartbeat_targets())
        world_.send_datagram(listed_.peers, each, message);
    for (entry_engine::outgoing_pool_report const& each : engine_->make_pool_reports()) {
        for (address const& receiver : each.receivers)
            world_.send_datagram(listed_.peers, receiver, each.report);
    }
    engine_->update_members(directory_->members());
    std::uint64_t const run = run_;
    world_.queue_.after(membership.heartbeat_interval, [this, run] {
        if (run == run_ && is_running())
            in_this_run([this] { beat(); });
    });
}

void simulated_entry::poll_store()
{
    world_.store_.read(
        head_row_key, [this](store_status status, std::optional<table_row> const& row) {
            if (status != store_status::done || !row)
                return;
            configuration_head_record const head =
                handle_failure([&] { return parse_head_record(row->value); },
                               [](failure const&) { return configuration_head_record{}; });
            carry_out(follower_->handle_store_head(
                {.version = head.version.get(), .document = head.document}, world_.queue_.now()));
        });
    std::uint64_t const run = run_;
    world_.queue_.after(poll_interval, [this, run] {
        if (run == run_ && is_running())
            in_this_run([this] { poll_store(); });
    });
}

void simulated_entry::receive(address const& from, wire::message const& message)
{
    if (!is_running() || !directory_->is_listed_peer(from))
        return;
    in_this_run([this, from, message] {
        time_point const now = world_.queue_.now();
        if (auto const* const report = std::get_if<wire::pool_report>(&message))
            engine_->record_pool_report(*report, now);
        auto const* const heard = std::get_if<wire::heartbeat>(&message);
        if (heard == nullptr)
            return;
        directory_->handle_heartbeat(*heard, now);
        engine_->update_members(directory_->members());
        for (upstream_name const& each : leaving_.record_leaving(*heard, now))
            engine_->mark_leaving(each, now, now);
        carry_out(follower_->handle_peer_head(heard->head, from, now));
    });
}

void simulated_entry::carry_out(std::vector<follower_command> const& commands)
{
    for (follower_command const& each : commands) {
        wire::configuration_head const newest_head = follower_->newest_head();
        if (auto const* const fetch = std::get_if<fetch_object_command>(&each)) {
            world_.store_.get(fetch->name, [&](store_status,
                                               std::optional<std::string> const& text) {
                if (text)
                    carry_out(follower_->handle_document(newest_head, *text, world_.queue_.now()));
            });
        }
        else if (auto const* const ask = std::get_if<ask_peer_command>(&each)) {
            for (auto const& peer : world_.entries_) {
                bool const asked = peer->listed().peers == ask->peer && peer->is_running();
                auto const held = asked ? peer->in_force() : nullptr;
                if (held)
                    carry_out(follower_->handle_document(
                        {.version = held->version.get(), .document = held->name}, held->text,
                        world_.queue_.now()));
            }
        }
        else if (auto const* const adopt = std::get_if<adopt_command>(&each)) {
            if (adopt->adopted->version.get() <= last_version_)
                world_.violated(listed_.instance.get() + " went back to an older configuration");
            last_version_ = adopt->adopted->version.get();
            carry_out(engine_->apply_configuration(adopt->adopted, world_.queue_.now()));
        }
    }
}

void simulated_entry::receive(simulated_request const& request,
                              world::answer_handler const& handler)
{
    if (!is_running()) {
        handler({.end = send_end::not_connected});
        return;
    }
    in_this_run([this, request, handler] {
        request_id const id(next_call_++);
        world_.trace(request, "arrives at " + listed_.instance.get());
        calls_[id] = {.request = request, .handler = handler};
        carry_out(engine_->handle_arrival({.id = id,
                                           .service = request.service,
                                           .presented = request.presented,
                                           .request = digest_of(request.body),
                                           .deadline = request.time_left,
                                           .route = request.route},
                                          world_.queue_.now()));
    });
}

void simulated_entry::send(request_id id, address const& to, simulated_request const& request)
{
    std::uint64_t const run = run_;
    auto const answered = std::make_shared<bool>(false);
    auto const abandoned = std::make_shared<bool>(false);
    abandoned_[id] = abandoned;
    auto const hear = [this, run, id, answered, abandoned](simulated_answer const& answer) {
        if (run != run_ || !is_running() || std::exchange(*answered, true))
            return;
        in_this_run([this, id, answer, abandoned] {
            // As with the daemon's relays, an abandoned send is heard of no more, also when its
            // answer had come while the entry was stopped.
            if (*abandoned)
                return;
            time_point const now = world_.queue_.now();
            if (answer.from_leaving && sent_to_.contains(id)) {
                world_.note_leaving_sign(*this, sent_to_.at(id));
                leaving_.record_leaving(sent_to_.at(id), now, now);
                engine_->mark_leaving(sent_to_.at(id), now, now);
            }
            if (answer.end == send_end::complete) {
                heads_[id] = answer;
                carry_out(engine_->handle_answer_head(id, answer.kind, now));
            }
            carry_out(engine_->handle_send_end(
                id, answer.end, retained_answer{.status = 200, .body = answer.body}, now));
        });
    };
    world_.send_request(to, request, hear);
    world_.queue_.after(std::min(request.time_left, stall_limit),
                        [hear] { hear({.end = send_end::broken}); });
}

void simulated_entry::reply(request_id id, simulated_answer const& answer)
{
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return;
    world_.trace(found->second.request,
                 fmt::format("{} replies end {} kind {}", listed_.instance.get(),
                             static_cast<int>(answer.end), static_cast<int>(answer.kind)));
    auto const handler = std::move(found->second.handler);
    calls_.erase(found);
    heads_.erase(id);
    sent_to_.erase(id);
    abandoned_.erase(id);
    handler(answer);
}

void simulated_entry::carry_out(entry_engine::commands const& commands)
{
    for (entry_command const& command : commands) {
        if (auto const* const send_up = std::get_if<send_upstream>(&command)) {
            world_.note_new_work(*this, send_up->upstream);
            sent_to_[send_up->id] = send_up->upstream;
            simulated_request request = calls_.at(send_up->id).request;
            request.time_left = send_up->time_left;
            send(send_up->id, send_up->to, request);
        }
        else if (auto const* const peer = std::get_if<send_peer>(&command)) {
            sent_to_.erase(peer->id);
            simulated_request request = calls_.at(peer->id).request;
            request.time_left = peer->time_left;
            request.presented = peer->present;
            request.route = peer->route;
            send(peer->id, peer->to, request);
        }
        else if (auto const* const whole = std::get_if<complete_answer>(&command)) {
            simulated_answer const answer = heads_.at(whole->id);
            reply(whole->id, answer);
        }
        else if (auto const* const given_up = std::get_if<abandon_send>(&command)) {
            *abandoned_.at(given_up->id) = true;
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
            world_.violated("a ticket was taken for another request's");
            reply(conflict->id, {.kind = answer_head_kind::unknown});
        }
        else if (auto const* const gone = std::get_if<reply_answer_not_retained>(&command)) {
            reply(gone->id,
                  {.kind = answer_head_kind::answer, .body = calls_.at(gone->id).request.id});
        }
    }
}

} // namespace burdockstep::testing
