#include "services/burdockstep_gateway/discovery/registrations_reader.hpp"

#include "libraries/discovery/registry_read_interval.hpp"
#include "libraries/discovery/store_history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// After a start the readers begin to send updates once they know the other entries.
constexpr duration first_update_delay = std::chrono::milliseconds(2'000);
/// Upstreams may take this part of the process's memory.
constexpr std::size_t upstreams_memory_divisor = 4;
/// What an upstream takes in the registry, in its copies for other tasks and in the engine.
constexpr std::size_t bytes_per_upstream = std::size_t{2} * 1024;
/// More than the largest deployment has, however little memory the process may use.
constexpr std::size_t min_upstreams_limit = 8'192;

std::size_t max_upstreams(gateway_settings const& settings)
{
    std::size_t const with_room =
        settings.memory_bytes / upstreams_memory_divisor / bytes_per_upstream;
    return std::max(with_room, min_upstreams_limit);
}

} // namespace

registrations_reader::registrations_reader(gateway_context& context, discovery_store& store_client,
                                           store_monitor& monitor, reader_callbacks callbacks)
    : context_(context), store_client_(store_client), store_monitor_(monitor),
      callbacks_(std::move(callbacks)),
      registry_({.max_upstreams = max_upstreams(context.settings)}, context.settings.places),
      read_timer_(context.loop), repair_({})
{}

duration registrations_reader::read_interval() const
{
    duration const drain_limit = context_.settings.drain_limit;
    if (is_registry_reader_)
        return registry_reader_interval(drain_limit);
    duration const timeout = registry_update_timeout(drain_limit, entries_, context_.random);
    return has_received_update_ ? timeout : first_update_delay + timeout;
}

void registrations_reader::schedule_read(duration delay)
{
    read_timer_.start_once(delay, [this] {
        if (!is_registry_reader_) {
            stands_in_for_readers_ = true;
            callbacks_.on_update_timeout();
        }
        start_read();
    });
}

void registrations_reader::set_is_registry_reader(bool is_reader)
{
    is_registry_reader_ = is_reader;
    if (is_reader)
        read_now();
}

void registrations_reader::read_now()
{
    read_timer_.stop();
    start_read();
}

void registrations_reader::note_store_returned()
{
    registry_.note_store_returned(context_.clock.now());
    has_full_registry_ = false;
    history_truncated_ = false;
}

void registrations_reader::note_history_replaced(store_era era)
{
    if (position_.era >= era)
        return;
    has_full_registry_ = false;
    history_truncated_ = false;
    read_now();
}

void registrations_reader::start_read()
{
    if (std::exchange(read_pending_, true))
        return;
    bool const is_full_read = !has_full_registry_;
    auto const on_answer =
        [this,
         is_full_read](discovery_store_answer<std::vector<registration_change>> const& answer) {
            read_pending_ = false;
            handle_answer(answer, is_full_read);
        };
    if (is_full_read)
        store_client_.read_registrations(on_answer);
    else
        store_client_.read_registration_changes(position_, on_answer);
}

void registrations_reader::handle_answer(
    discovery_store_answer<std::vector<registration_change>> const& answer, bool is_full_read)
{
    store_monitor_.record_result(is_full_read ? store_call_purpose::registrations
                                              : store_call_purpose::registration_changes,
                                 answer.status, answer.position, answer.calls);
    answer_use const use =
        use_of_answer(position_, store_monitor_.era(), answer.position,
                      is_full_read ? answer_scope::whole_table : answer_scope::changes);
    duration delay = read_interval();
    if (answer.status == discovery_store_status::history_truncated) {
        history_truncated_ = has_full_registry_;
        has_full_registry_ = false;
        delay = duration::zero();
    }
    else if (answer.status != discovery_store_status::done || use == answer_use::repeat_call) {
        delay = store_monitor_.next_retry_delay();
    }
    else if (use == answer_use::read_whole_table) {
        has_full_registry_ = false;
        delay = duration::zero();
    }
    else if (!is_full_read && answer.position < position_) {
        log_.debug("registry read is older than a received update; ignored",
                   {field("read", answer.position.version.get()),
                    field("known", position_.version.get())});
    }
    else {
        apply_answer(answer, is_full_read);
    }
    registry_.expire(context_.clock.now());
    publish_upstreams();
    report_refused_registrations();
    if (answer.status == discovery_store_status::done && use == answer_use::apply)
        context_.post(registry_refreshed{});
    schedule_read(delay);
}

void registrations_reader::apply_answer(
    discovery_store_answer<std::vector<registration_change>> const& answer, bool is_full_read)
{
    time_point const now = context_.clock.now();
    std::vector<upstream_name> const changed =
        names_of(is_full_read ? snapshot_differences(registry_, answer.content, now)
                              : significant_changes(registry_, answer.content, now));
    bool const is_announced_by_differences = std::exchange(history_truncated_, false);
    bool const continues_known_position =
        answer.position.era == position_.era && (!is_full_read || is_announced_by_differences);
    if (is_full_read)
        registry_.apply_snapshot(answer.content, now, answer.position);
    else
        registry_.apply_changes(answer.content, now);
    bool const announces = is_registry_reader_ || std::exchange(stands_in_for_readers_, false);
    if (continues_known_position && announces)
        callbacks_.on_changes_read(make_registry_update_pieces(position_, answer.position,
                                                               registry_.records_of(changed, now)));
    // A full read that began before the store's recovery was noted is repeated.
    has_full_registry_ = has_full_registry_ || is_full_read;
    position_ = answer.position;
}

bool registrations_reader::handle_update(assembled_registry_update const& update)
{
    if (!has_full_registry_)
        return true;
    // Whatever the update's positions are, its records can be merged.
    registry_.merge_records(update.records, context_.clock.now());
    registry_.expire(context_.clock.now());
    publish_upstreams();
    if (update.up_to < position_)
        return true;
    bool const is_other_history = update.up_to.era != position_.era;
    bool const has_gap = !update.complete || update.after > position_ || is_other_history;
    if (has_gap) {
        has_full_registry_ = !is_other_history;
        if (!read_pending_)
            start_read();
        return false;
    }
    stands_in_for_readers_ = false;
    has_received_update_ = true;
    // An update without changes confirms that the registry is unchanged up to its version.
    position_ = update.up_to;
    if (!is_registry_reader_ && !read_pending_)
        schedule_read(read_interval());
    return true;
}

std::uint64_t registrations_reader::registered_digest() const
{
    return combined_digest(registry_.registered_digests());
}

std::optional<wire::registry_question>
registrations_reader::compare_digest(assembled_registry_update const& update)
{
    if (!has_full_registry_ || update.up_to != position_)
        return std::nullopt;
    auto question = repair_.compare(update.registered_digest, registry_, entries_, context_.random,
                                    context_.clock.now());
    if (question) {
        log_.info("another entry knows other upstreams; asking it",
                  {field("store_era", position_.era.get()),
                   field("store_version", position_.version.get())});
    }
    return question;
}

registry_repair_answer registrations_reader::answer(wire::registry_question const& question)
{
    if (!has_full_registry_)
        return {};
    return repair_.answer(question, registry_, context_.clock.now());
}

void registrations_reader::handle_records(wire::registry_records_message const& message)
{
    registry_.merge_records(records_in(message), context_.clock.now());
    publish_upstreams();
}

void registrations_reader::write_metrics(std::string& out) const
{
    fmt::format_to(std::back_inserter(out), "burdockstep_registrations_refused_total {}\n",
                   registry_.refused_registrations());
    fmt::format_to(std::back_inserter(out), "burdockstep_registry_differences_total {}\n",
                   repair_.differences());
    fmt::format_to(std::back_inserter(out), "burdockstep_registry_questions_answered_total {}\n",
                   repair_.questions_answered());
}

void registrations_reader::report_refused_registrations()
{
    std::uint64_t const refused = registry_.refused_registrations();
    if (refused == std::exchange(reported_refusals_, refused))
        return;
    log_.error(
        "more upstreams are registered than this entry has memory for; further ones aren't "
        "used; raise memory_mb or find out who registers them",
        {field("known", registry_.upstreams().size()), field("limit", registry_.max_upstreams())});
}

void registrations_reader::publish_upstreams()
{
    if (registry_.changes() == published_changes_)
        return;
    published_changes_ = registry_.changes();
    log_.info("upstreams changed",
              {field("known", registry_.upstreams().size()),
               field("usable", registry_.count_usable()), field("store_era", position_.era.get()),
               field("store_version", position_.version.get())});
    context_.post(upstreams_changed{
        .upstreams = std::make_shared<std::map<upstream_name, known_upstream> const>(
            registry_.upstreams())});
}

} // namespace burdockstep::gateway
