#include "services/burdockstep_gateway/discovery/directives_reader.hpp"

#include "libraries/discovery/store_history.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// How long the store is asked to wait for a change. A connection that fails silently delays the
/// next call by this time, so it must stay close to the time in which a directive must be in force.
constexpr duration max_poll_wait = std::chrono::seconds(2);
/// The same where the directives must be confirmed often: what is known is at least this old when
/// the answer without a change arrives.
constexpr duration max_confirming_wait = std::chrono::milliseconds(400);
/// If the store is this late, the next call begins before the answer to the last one.
constexpr duration overlap_delay = std::chrono::milliseconds(150);
constexpr unsigned max_overlapping_reads = 4;
/// How often evacuations that the store lacks are checked for their end.
constexpr duration evacuation_check_interval = std::chrono::milliseconds(500);

} // namespace

directives_reader::directives_reader(gateway_context& context, discovery_store& store_client,
                                     store_monitor& monitor, reader_callbacks callbacks)
    : context_(context), store_client_(store_client), store_monitor_(monitor),
      callbacks_(std::move(callbacks)), retry_timer_(context.loop), overlap_timer_(context.loop),
      evacuation_timer_(context.loop)
{}

void directives_reader::read_all()
{
    retry_timer_.stop();
    overlap_timer_.stop();
    store_call const call{
        .number = ++last_call_, .started = context_.clock.now(), .is_full_read = true};
    oldest_valid_call_ = call.number;
    last_call_began_at_ = call.started;
    full_read_scheduled_ = false;
    call_pending_ = true;
    full_read_pending_ = true;
    store_client_.read_directives(
        [this, call](discovery_store_answer<operator_directives> const& answer) {
            if (call.number >= oldest_valid_call_)
                handle_answer(answer, call);
        });
}

void directives_reader::long_poll()
{
    read_changes(confirms_often_ ? max_confirming_wait : max_poll_wait);
    if (confirms_often_)
        schedule_overlapping_poll();
}

void directives_reader::read_changes(duration max_wait)
{
    store_call const call{.number = ++last_call_, .started = context_.clock.now()};
    call_pending_ = true;
    ++reads_of_changes_under_way_;
    store_client_.await_directive_changes(
        position_, max_wait,
        [this, call](discovery_store_answer<operator_directives> const& answer) {
            --reads_of_changes_under_way_;
            if (call.number >= oldest_valid_call_)
                handle_answer(answer, call);
        });
}

void directives_reader::schedule_overlapping_poll()
{
    overlap_timer_.start_once(max_confirming_wait + overlap_delay, [this] {
        bool const may_poll = is_long_polling_ && confirms_often_ && !full_read_pending_;
        if (!may_poll)
            return;
        if (reads_of_changes_under_way_ < max_overlapping_reads)
            long_poll();
        else
            schedule_overlapping_poll();
    });
}

void directives_reader::read_changes_now()
{
    if (full_read_pending_ || reads_of_changes_under_way_ >= max_overlapping_reads)
        return;
    retry_timer_.stop();
    read_changes(duration::zero());
}

void directives_reader::set_long_polling(bool enabled)
{
    is_long_polling_ = enabled;
    if (is_long_polling_ && !call_pending_ && !full_read_pending_)
        long_poll();
}

void directives_reader::note_peer_position(store_position change)
{
    peer_change_ = std::max(peer_change_, change);
    if (peer_change_ > last_change_ && !full_read_pending_)
        read_all();
}

void directives_reader::hasten_read(duration min_interval)
{
    bool const is_due = context_.clock.now() - last_call_began_at_ >= min_interval;
    if (full_read_scheduled_ && is_due)
        read_all();
}

void directives_reader::note_history_replaced(store_era era)
{
    if (position_.era < era && !full_read_pending_)
        read_all();
}

void directives_reader::retry(store_call const& call)
{
    if (call.number != last_call_)
        return; // A later call is under way.
    call_pending_ = false;
    overlap_timer_.stop();
    if (!call.is_full_read && !is_long_polling_)
        return;
    call_pending_ = true;
    full_read_scheduled_ = call.is_full_read;
    retry_timer_.start_once(
        store_monitor_.next_retry_delay(),
        [this, is_full_read = call.is_full_read] { is_full_read ? read_all() : long_poll(); });
}

void directives_reader::handle_answer(discovery_store_answer<operator_directives> const& answer,
                                      store_call const& call)
{
    store_monitor_.record_result(call.is_full_read ? store_call_purpose::directives
                                                   : store_call_purpose::directive_changes,
                                 answer.status, answer.position, answer.calls);
    if (answer.status == discovery_store_status::history_truncated) {
        log_.info("change history of directives is truncated; reading all directives",
                  {field("after", position_.version.get())});
        read_all();
        return;
    }
    if (answer.status != discovery_store_status::done) {
        retry(call);
        return;
    }
    answer_use const use =
        use_of_answer(position_, store_monitor_.era(), answer.position,
                      call.is_full_read ? answer_scope::whole_table : answer_scope::changes);
    if (use == answer_use::read_whole_table) {
        read_all();
        return;
    }
    if (use == answer_use::repeat_call) {
        retry(call);
        return;
    }
    apply_answer(answer, call);
    bool const is_latest = call.number == last_call_;
    if (is_latest)
        call_pending_ = false;
    if (peer_change_ > last_change_)
        retry({.number = last_call_, .started = {}, .is_full_read = true});
    else if (is_long_polling_ && is_latest)
        long_poll();
}

void directives_reader::apply_answer(discovery_store_answer<operator_directives> const& answer,
                                     store_call const& call)
{
    oldest_valid_call_ = call.number + 1;
    // Of calls that overlap, the one that began later may hold less.
    bool const is_outdated = !call.is_full_read && answer.position < position_;
    if (is_outdated)
        return;
    if (call.is_full_read)
        full_read_pending_ = false;
    update_evacuations(answer, call.is_full_read);
    if (answer.content.routing)
        apply_document(answer.content.routing);
    if (answer.content.routing || answer.content.routing_is_unreadable)
        document_is_unreadable_ = answer.content.routing_is_unreadable;
    position_ = call.is_full_read ? answer.position : std::max(position_, answer.position);
    set_last_change(answer.content.last_change);
    // If this answer is at least as new as the change that a peer announced but does not contain
    // it, the change was a removal, which leaves no row.
    if (call.is_full_read && answer.position >= peer_change_)
        set_last_change(peer_change_);
    if (routing_document_ && !document_is_unreadable_)
        callbacks_.on_confirmed(call.started);
}

void directives_reader::update_evacuations(
    discovery_store_answer<operator_directives> const& answer, bool is_full_read)
{
    time_point const now = context_.clock.now();
    if (is_full_read)
        evacuations_.apply_all(answer.content.evacuated, answer.position.era, now);
    else
        evacuations_.apply_changes(answer.content.evacuated, answer.content.evacuation_lifted);
    evacuations_.expire(now);
    publish_evacuations(answer.position);
    if (evacuations_.has_unconfirmed())
        evacuation_timer_.start_once(evacuation_check_interval, [this] { expire_evacuations(); });
}

void directives_reader::expire_evacuations()
{
    time_point const now = context_.clock.now();
    if (full_read_pending_ || !store_monitor_.is_reachable())
        evacuations_.restart_grace(now);
    evacuations_.expire(now);
    publish_evacuations(position_);
    if (evacuations_.has_unconfirmed())
        evacuation_timer_.start_once(evacuation_check_interval, [this] { expire_evacuations(); });
}

void directives_reader::publish_evacuations(store_position position)
{
    std::set<place_name> evacuated = evacuations_.places();
    if (evacuated == published_evacuations_)
        return;
    log_.info("evacuations changed",
              {field("places", evacuated.size()), field("store_era", position.era.get()),
               field("store_version", position.version.get())});
    published_evacuations_ = std::move(evacuated);
    callbacks_.on_evacuations_changed(published_evacuations_);
}

void directives_reader::set_last_change(store_position change)
{
    if (change <= last_change_)
        return;
    last_change_ = change;
    context_.post(directives_applied{.position = change});
}

void directives_reader::apply_document(std::shared_ptr<routing_document const> document)
{
    if (routing_document_ && document->version <= routing_document_->version)
        return;
    routing_document_ = std::move(document);
    log_.info("configuration in force", {field("version", routing_document_->version.get()),
                                         field("routes", routing_document_->routes.size()),
                                         field("services", routing_document_->services.size())});
    context_.post(routing_document_applied{.document = routing_document_});
}

} // namespace burdockstep::gateway
