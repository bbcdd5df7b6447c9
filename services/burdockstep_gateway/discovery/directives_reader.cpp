#include "services/burdockstep_gateway/discovery/directives_reader.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// How long the store is asked to wait for a change. A connection that fails silently delays the
/// next call by this time, so it must stay close to the time in which a directive must be in force.
constexpr duration max_poll_wait = std::chrono::seconds(2);

} // namespace

directives_reader::directives_reader(gateway_context& context, discovery_store& store_client,
                                     store_monitor& monitor,
                                     evacuation_handler on_evacuations_changed)
    : context_(context), store_client_(store_client), store_monitor_(monitor),
      on_evacuations_changed_(std::move(on_evacuations_changed)), retry_timer_(context.loop)
{}

void directives_reader::read_all()
{
    retry_timer_.stop();
    std::uint64_t const call_number = ++current_call_;
    call_pending_ = true;
    full_read_pending_ = true;
    store_client_.read_directives(
        [this, call_number](discovery_store_answer<operator_directives> const& answer) {
            if (call_number == current_call_)
                handle_answer(answer, true);
        });
}

void directives_reader::long_poll()
{
    std::uint64_t const call_number = ++current_call_;
    call_pending_ = true;
    store_client_.await_directive_changes(
        version_, max_poll_wait,
        [this, call_number](discovery_store_answer<operator_directives> const& answer) {
            if (call_number == current_call_)
                handle_answer(answer, false);
        });
}

void directives_reader::set_long_polling(bool enabled)
{
    is_long_polling_ = enabled;
    if (is_long_polling_ && !call_pending_ && !full_read_pending_)
        long_poll();
}

void directives_reader::note_peer_version(std::uint64_t change_version)
{
    peer_change_version_ = std::max(peer_change_version_, change_version);
    if (peer_change_version_ > last_change_version_ && !full_read_pending_)
        read_all();
}

void directives_reader::retry(bool is_full_read)
{
    if (!is_full_read && !is_long_polling_)
        return;
    call_pending_ = true;
    retry_timer_.start_once(store_monitor_.next_retry_delay(),
                            [this, is_full_read] { is_full_read ? read_all() : long_poll(); });
}

void directives_reader::handle_answer(discovery_store_answer<operator_directives> const& answer,
                                      bool is_full_read)
{
    call_pending_ = false;
    store_monitor_.record_result(is_full_read ? store_call_purpose::directives
                                              : store_call_purpose::directive_changes,
                                 answer.status, answer.calls);
    if (answer.status == discovery_store_status::history_truncated) {
        log_.info("change history of directives is truncated; reading all directives",
                  {field("after", version_.get())});
        read_all();
        return;
    }
    if (answer.status != discovery_store_status::done) {
        retry(is_full_read);
        return;
    }
    full_read_pending_ = false;
    update_evacuations(answer, is_full_read);
    if (answer.content.routing)
        apply_document(answer.content.routing);
    version_ = std::max(version_, answer.version);
    set_last_change_version(answer.content.last_change_version.get());
    // If this answer is at least as new as the change that a peer announced but does not contain
    // it, the change was a removal, which leaves no row.
    if (is_full_read && answer.version.get() >= peer_change_version_)
        set_last_change_version(peer_change_version_);
    if (peer_change_version_ > last_change_version_)
        retry(true);
    else if (is_long_polling_)
        long_poll();
}

void directives_reader::update_evacuations(
    discovery_store_answer<operator_directives> const& answer, bool is_full_read)
{
    std::set<place_name> evacuated = is_full_read ? std::set<place_name>{} : evacuated_places_;
    evacuated.insert(answer.content.evacuated.begin(), answer.content.evacuated.end());
    for (place_name const& each : answer.content.evacuation_lifted)
        evacuated.erase(each);
    if (evacuated == evacuated_places_)
        return;
    log_.info("evacuations changed",
              {field("places", evacuated.size()), field("store_version", answer.version.get())});
    evacuated_places_ = std::move(evacuated);
    on_evacuations_changed_(evacuated_places_);
}

void directives_reader::set_last_change_version(std::uint64_t change_version)
{
    if (change_version <= last_change_version_)
        return;
    last_change_version_ = change_version;
    context_.post(directives_applied{.version = change_version});
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
