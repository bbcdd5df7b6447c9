#include "services/burdockstep_gateway/discovery/directives_reader.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// How long the store is asked to wait for a change. A wait on a connection that has gone silent
/// ends so much later, which must be about the time in which a directive is in force.
constexpr duration follow_patience = std::chrono::seconds(2);

} // namespace

directives_reader::directives_reader(gateway_context& context, discovery_store& source,
                                     store_contact& contact, evacuation_handler on_evacuations)
    : context_(context), source_(source), contact_(contact),
      on_evacuations_(std::move(on_evacuations)), retry_timer_(context.loop)
{}

void directives_reader::read()
{
    retry_timer_.stop();
    std::uint64_t const call = ++call_;
    under_way_ = true;
    reading_ = true;
    source_.read_directives(
        [this, call](discovery_store_answer<operator_directives> const& answer) {
            if (call == call_)
                take(answer, true);
        });
}

void directives_reader::follow()
{
    std::uint64_t const call = ++call_;
    under_way_ = true;
    source_.await_directive_changes(
        version_, follow_patience,
        [this, call](discovery_store_answer<operator_directives> const& answer) {
            if (call == call_)
                take(answer, false);
        });
}

void directives_reader::set_following(bool following)
{
    following_ = following;
    if (following_ && !under_way_ && !reading_)
        follow();
}

void directives_reader::take_word(std::uint64_t changed)
{
    wanted_ = std::max(wanted_, changed);
    if (wanted_ > changed_at_ && !reading_)
        read();
}

void directives_reader::retry(bool whole)
{
    if (!whole && !following_)
        return;
    under_way_ = true;
    retry_timer_.start_once(contact_.retry_pause(), [this, whole] { whole ? read() : follow(); });
}

void directives_reader::take(discovery_store_answer<operator_directives> const& answer, bool whole)
{
    under_way_ = false;
    contact_.note(answer.status);
    if (answer.status == discovery_store_status::history_truncated) {
        log_.info("history of directives lost; reading them whole",
                  {field("after", version_.get())});
        read();
        return;
    }
    if (answer.status != discovery_store_status::done) {
        retry(whole);
        return;
    }
    reading_ = false;
    take_evacuations(answer, whole);
    if (answer.content.routing)
        adopt(answer.content.routing);
    version_ = std::max(version_, answer.version);
    note_changed(answer.content.last_change_version.get());
    // A peer's change that this answer is newer than was a removal: no row tells of it.
    if (whole && answer.version.get() >= wanted_)
        note_changed(wanted_);
    if (wanted_ > changed_at_)
        retry(true);
    else if (following_)
        follow();
}

void directives_reader::take_evacuations(discovery_store_answer<operator_directives> const& answer,
                                         bool whole)
{
    std::set<place_name> evacuated = whole ? std::set<place_name>{} : evacuated_;
    evacuated.insert(answer.content.evacuated.begin(), answer.content.evacuated.end());
    for (place_name const& each : answer.content.evacuation_lifted)
        evacuated.erase(each);
    if (evacuated == evacuated_)
        return;
    log_.info("evacuations changed",
              {field("places", evacuated.size()), field("store_version", answer.version.get())});
    evacuated_ = std::move(evacuated);
    on_evacuations_(evacuated_);
}

void directives_reader::note_changed(std::uint64_t changed)
{
    if (changed <= changed_at_)
        return;
    changed_at_ = changed;
    context_.post(directives_seen{.version = changed});
}

void directives_reader::adopt(std::shared_ptr<routing_document const> document)
{
    if (document_ && document->version <= document_->version)
        return;
    document_ = std::move(document);
    log_.info("configuration in force", {field("version", document_->version.get()),
                                         field("routes", document_->routes.size()),
                                         field("services", document_->services.size())});
    context_.post(routing_adopted{.document = document_});
}

} // namespace burdockstep::gateway
