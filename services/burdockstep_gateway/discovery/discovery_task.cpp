#include "services/burdockstep_gateway/discovery/discovery_task.hpp"

#include "libraries/discovery/registry_update.hpp"

#include <algorithm>
#include <iterator>

namespace burdockstep::gateway {

namespace {

/// By then most entries of a new deployment are in the list, and the live ones of an old one have
/// sent heartbeats.
constexpr duration startup_duration = std::chrono::milliseconds(1'800);

} // namespace

discovery_task::discovery_task(gateway_context& context, discovery_store& store_client)
    : context_(context),
      store_monitor_(context, [this] { registrations_reader_.note_store_returned(); }),
      directives_reader_(
          context, store_client, store_monitor_,
          {.on_evacuations_changed =
               [this](std::set<place_name> const& each) { update_evacuations(each); },
           .on_confirmed =
               [this](time_point started) { directives_confirmer_.handle_store_answer(started); }}),
      directives_confirmer_(context, directives_reader_, store_monitor_),
      registrations_reader_(context, store_client, store_monitor_,
                            {.on_update_timeout = [this] { set_receives_updates(false); },
                             .on_changes_read =
                                 [this](std::vector<wire::registry_update_message> update_pieces) {
                                     broadcast_updates(std::move(update_pieces));
                                 }}),
      entries_reader_(context, store_client, store_monitor_), startup_timer_(context.loop)
{}

result<void> discovery_task::try_start()
{
    directives_reader_.read_all();
    registrations_reader_.start();
    entries_reader_.start();
    startup_timer_.start_once(startup_duration, [this] { end_startup(); });
    return {};
}

void discovery_task::end_startup()
{
    startup_is_over_ = true;
    set_is_registry_reader(is_chosen_reader_);
}

void discovery_task::update_evacuations(std::set<place_name> const& evacuated)
{
    duration cold_start_time{};
    if (directives_reader_.document()) {
        for (service_settings const& each : directives_reader_.document()->services)
            cold_start_time = std::max(cold_start_time, each.cold_start_duration);
    }
    registrations_reader_.registry().set_evacuated_places(evacuated, cold_start_time,
                                                          context_.clock.now());
    registrations_reader_.publish_upstreams();
}

void discovery_task::handle_update(address const& sender,
                                   wire::registry_update_message const& update)
{
    ++updates_received_;
    for (store_position const& each : {update.up_to, update.directives, update.entries})
        store_monitor_.record_peer_position(each);
    directives_reader_.note_peer_position(update.directives);
    entries_reader_.note_peer_position(update.entries);
    if (update.up_to.era < store_monitor_.era())
        return;
    store_monitor_.record_peer_update();
    auto const assembled_update = update_assembler_.add_piece(update);
    if (!assembled_update)
        return;
    if (registrations_reader_.handle_update(*assembled_update))
        set_receives_updates(true);
    if (auto question = registrations_reader_.compare_digest(*assembled_update))
        context_.post(registry_message_ready{.to = sender, .message = std::move(*question)});
}

void discovery_task::handle_question(registry_question_received const& asked)
{
    registry_repair_answer answer = registrations_reader_.answer(asked.question);
    for (wire::registry_records_message& each : answer.records)
        context_.post(registry_message_ready{.to = asked.from, .message = std::move(each)});
    if (answer.counter_question) {
        context_.post(registry_message_ready{.to = asked.from,
                                             .message = std::move(*answer.counter_question)});
    }
}

void discovery_task::broadcast_updates(std::vector<wire::registry_update_message> update_pieces)
{
    std::uint64_t const digest = registrations_reader_.registered_digest();
    for (wire::registry_update_message& each : update_pieces) {
        each.directives = directives_reader_.last_change();
        each.entries = entries_reader_.last_change();
        each.registered_digest = digest;
        context_.post(registry_update_ready{.update = std::move(each)});
    }
}

void discovery_task::broadcast_directives_version()
{
    bool const announces = is_registry_reader_ || !receives_updates_;
    if (!announces || !registrations_reader_.has_full_registry())
        return;
    store_position const position = registrations_reader_.position();
    broadcast_updates(make_registry_update_pieces(position, position, {}));
}

void discovery_task::set_is_registry_reader(bool is_reader)
{
    if (is_reader == is_registry_reader_)
        return;
    is_registry_reader_ = is_reader;
    log_.info("registry reader role changed", {field("reads_for_others", is_reader)});
    registrations_reader_.set_is_registry_reader(is_reader);
    entries_reader_.set_announces_changes(is_reader);
    update_long_polling();
}

void discovery_task::set_receives_updates(bool are_received)
{
    if (are_received == receives_updates_)
        return;
    receives_updates_ = are_received;
    log_.info("reception of registry updates changed", {field("hears_readers", are_received)});
    update_long_polling();
}

void discovery_task::update_long_polling()
{
    bool const should_long_poll = is_registry_reader_ || !receives_updates_;
    directives_confirmer_.set_reads_store(should_long_poll);
    directives_reader_.set_long_polling(should_long_poll);
    entries_reader_.set_long_polling(should_long_poll);
}

void discovery_task::receive(event const& new_event)
{
    if (auto const* const peer_directives =
            std::get_if<peer_directives_position_received>(&new_event)) {
        store_monitor_.record_peer_position(peer_directives->position);
        directives_reader_.note_peer_position(peer_directives->position);
    }
    else if (auto const* const replaced = std::get_if<store_history_replaced>(&new_event)) {
        directives_confirmer_.note_era(replaced->era);
        directives_reader_.note_history_replaced(replaced->era);
        registrations_reader_.note_history_replaced(replaced->era);
        entries_reader_.note_history_replaced(replaced->era);
    }
    else if (std::holds_alternative<directives_applied>(new_event)) {
        directives_confirmer_.handle_applied();
        broadcast_directives_version();
    }
    else if (auto const* const members = std::get_if<members_changed>(&new_event)) {
        registrations_reader_.set_entries(static_cast<std::size_t>(
            std::count_if(members->members.begin(), members->members.end(),
                          [](member_view const& each) { return each.is_running(); })));
        is_chosen_reader_ = is_registry_reader(context_.settings.instance, members->members);
        if (startup_is_over_)
            set_is_registry_reader(is_chosen_reader_);
        directives_confirmer_.set_members(members->members);
    }
    else if (auto const* const update = std::get_if<registry_update_received>(&new_event)) {
        handle_update(update->from, update->update);
    }
    else if (auto const* const asked = std::get_if<registry_question_received>(&new_event)) {
        handle_question(*asked);
    }
    else if (auto const* const told = std::get_if<registry_records_received>(&new_event)) {
        registrations_reader_.handle_records(told->message);
    }
    else if (auto const* const received_entries_update =
                 std::get_if<entries_update_received>(&new_event)) {
        store_monitor_.record_peer_position(received_entries_update->update.up_to);
        entries_reader_.handle_update(received_entries_update->update);
    }
    else if (auto const* const leaving = std::get_if<upstream_leaving>(&new_event)) {
        leaving_report const& report = leaving->report;
        if (registrations_reader_.registry().mark_leaving(report.upstream, report.incarnation,
                                                          context_.clock.now())) {
            log_.info("upstream leaves", {field("upstream", report.upstream.get()),
                                          field("started_ms", report.incarnation.get()),
                                          field("from_peer", leaving->from_peer)});
            registrations_reader_.publish_upstreams();
        }
    }
    else if (auto const* const cold_start_report =
                 std::get_if<upstream_cold_start_reported>(&new_event)) {
        registrations_reader_.registry().mark_cold(
            cold_start_report->name, cold_start_report->cold_time_left, context_.clock.now());
        registrations_reader_.publish_upstreams();
    }
    else if (auto const* const stall = std::get_if<process_resumed>(&new_event)) {
        log_.warning("process was suspended; rereading the registry before requests are sent",
                     {field("for_us", stall->stall_duration.count())});
        registrations_reader_.read_now();
        directives_reader_.read_all();
    }
    else {
        directives_confirmer_.receive(new_event);
    }
}

void discovery_task::write_metrics(std::string& out) const
{
    auto const write_metric = [&](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(out), "burdockstep_{} {}\n", name, value);
    };
    write_metric("store_calls_total", store_monitor_.calls());
    write_metric("registry_news_total", updates_received_);
    write_metric("upstreams_known", registrations_reader_.registry().upstreams().size());
    write_metric("upstreams_usable", registrations_reader_.registry().count_usable());
    write_metric("upstreams_cold",
                 registrations_reader_.registry().count_cold(context_.clock.now()));
    for (std::size_t i = 0; i < store_call_purpose_count; ++i) {
        auto const purpose = static_cast<store_call_purpose>(i);
        store_call_counts const& counts = store_monitor_.counts(purpose);
        auto const write_outcome = [&](std::string_view outcome, std::uint64_t value) {
            write_metric(
                fmt::format("store_calls_{}_total{{purpose=\"{}\"}}", outcome, name_of(purpose)),
                value);
        };
        write_outcome("made", counts.calls);
        write_outcome("rejected", counts.rejected);
        write_outcome("unanswered", counts.no_answer);
    }
    write_metric("store_reachable", store_monitor_.is_reachable() ? 1 : 0);
    write_metric("store_era", store_monitor_.era().get());
    write_metric("store_replacements_total", store_monitor_.replacements());
    registrations_reader_.write_metrics(out);
    directives_confirmer_.write_metrics(out);
    write_metric("configuration_version",
                 directives_reader_.document() ? directives_reader_.document()->version.get() : 0);
}

} // namespace burdockstep::gateway
