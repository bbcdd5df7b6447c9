#include "services/burdockstep_gateway/discovery/directives_confirmer.hpp"

#include "libraries/discovery/confirmation_sources.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// Another entry's proof shows that the store serves some. Reads are repeated at this interval,
/// longer with more entries: together they make 2,000 calls a second at most.
constexpr duration min_hasten_interval = std::chrono::milliseconds(500);
constexpr duration hasten_interval_per_entry = std::chrono::microseconds(500);

} // namespace

directives_confirmer::directives_confirmer(gateway_context& context, directives_reader& reader,
                                           store_monitor& monitor)
    : context_(context), reader_(reader), store_monitor_(monitor),
      confirmation_(directives_confirmation_options{}, context.random), tick_timer_(context.loop)
{}

void directives_confirmer::handle_store_answer(time_point call_started)
{
    confirmation_.note_era(store_monitor_.era());
    confirmation_.handle_store_answer(reader_.last_change(), call_started);
    update_activity();
    publish();
}

void directives_confirmer::handle_applied()
{
    // What an unreadable document says of keys isn't applied, whatever its position.
    if (reader_.is_document_outdated())
        return;
    confirmation_.handle_applied(reader_.last_change());
    update_activity();
    publish();
}

void directives_confirmer::update_activity()
{
    bool const is_needed = reader_.document() && reader_.document()->identifies_callers;
    if (is_needed == confirmation_.is_active())
        return;
    confirmation_.set_active(is_needed);
    reader_.set_confirms_often(is_needed);
    if (is_needed)
        schedule_tick();
    else
        tick_timer_.stop();
}

void directives_confirmer::set_members(std::vector<member_view> const& members)
{
    listed_member self;
    self.instance = context_.settings.instance;
    self.region = context_.settings.region;
    confirmation_sources sources = choose_confirmation_sources(self, members);
    confirmation_.set_sources(std::move(sources.preferred), std::move(sources.others),
                              std::move(sources.lost));
    entries_ = members.size();
}

void directives_confirmer::receive(event const& new_event)
{
    time_point const now = context_.clock.now();
    if (auto const* const asked = std::get_if<directives_question_received>(&new_event)) {
        context_.post(confirmation_message_ready{
            .to = asked->from, .message = confirmation_.answer(asked->question, now)});
    }
    else if (auto const* const proof = std::get_if<directives_proof_received>(&new_event)) {
        store_monitor_.record_peer_position(proof->proof.position);
        confirmation_.note_era(store_monitor_.era());
        if (!reader_.is_document_outdated())
            execute(confirmation_.handle_proof(proof->proof, now));
    }
    else if (std::holds_alternative<key_confirmation_wanted>(new_event)) {
        execute(confirmation_.want_early(now));
    }
}

void directives_confirmer::execute(confirmation_actions const& actions)
{
    if (actions.question) {
        context_.post(confirmation_message_ready{.to = actions.question->to,
                                                 .message = actions.question->question});
    }
    if (actions.read_directives) {
        reader_.note_peer_position(*actions.read_directives);
        reader_.hasten_read(hasten_interval());
    }
    if (actions.read_changes)
        reader_.read_changes_now();
    publish();
    if (confirmation_.is_active())
        schedule_tick();
}

duration directives_confirmer::hasten_interval() const
{
    return min_hasten_interval + hasten_interval_per_entry * entries_;
}

void directives_confirmer::publish()
{
    auto const fresh_as_of = confirmation_.fresh_as_of();
    if (!confirmation_.is_active() || fresh_as_of == published_)
        return;
    published_ = fresh_as_of;
    context_.post(directives_confirmed{.fresh_as_of = *fresh_as_of});
}

void directives_confirmer::schedule_tick()
{
    time_point const now = context_.clock.now();
    tick_timer_.start_once(confirmation_.next_tick(now) - now,
                           [this] { execute(confirmation_.tick(context_.clock.now())); });
}

void directives_confirmer::write_metrics(std::string& out) const
{
    if (!confirmation_.is_active())
        return;
    auto const write_metric = [&](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(out), "burdockstep_directives_{} {}\n", name, value);
    };
    if (auto const fresh_as_of = confirmation_.fresh_as_of()) {
        duration const age = context_.clock.now() - *fresh_as_of;
        write_metric("proof_age_us",
                     static_cast<std::uint64_t>(std::max(age, duration(0)).count()));
    }
    confirmation_counters const& counters = confirmation_.counters();
    write_metric("questions_sent_total", counters.questions_sent);
    write_metric("questions_answered_total", counters.questions_answered);
    write_metric("proofs_total{from=\"store\"}", counters.proofs_from_store);
    write_metric("proofs_total{from=\"entries\"}", counters.proofs_from_entries);
    write_metric("proofs_without_use_total", counters.proofs_without_use);
    write_metric("proofs_for_newer_total", counters.proofs_for_newer);
    write_metric("confirming_reads_total", counters.store_reads);
}

} // namespace burdockstep::gateway
