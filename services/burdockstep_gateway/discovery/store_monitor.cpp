#include "services/burdockstep_gateway/discovery/store_monitor.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// After this long without an answer the store counts as unreachable and the known routes as
/// possibly out of date: a new configuration is in force at all other entries after about this
/// time.
constexpr duration store_unreachable_timeout = std::chrono::milliseconds(1'500);

} // namespace

char const* name_of(store_call_purpose purpose)
{
    switch (purpose) {
    case store_call_purpose::directives:
        return "directives";
    case store_call_purpose::directive_changes:
        return "directive-changes";
    case store_call_purpose::registrations:
        return "registrations";
    case store_call_purpose::registration_changes:
        return "registration-changes";
    case store_call_purpose::entries:
        return "entries";
    case store_call_purpose::entry_changes:
        return "entry-changes";
    case store_call_purpose::own_entry:
        return "own-entry";
    }
    return "unknown";
}

store_monitor::store_monitor(gateway_context& context, std::function<void()> on_recovered)
    : context_(context), on_recovered_(std::move(on_recovered))
{}

void store_monitor::record_result(store_call_purpose purpose, discovery_store_status status,
                                  store_position answered, unsigned calls)
{
    if (status == discovery_store_status::done || knows_era_)
        note_position(answered, false);
    calls_ += calls;
    store_call_counts& counts = counts_[static_cast<std::size_t>(purpose)];
    counts.calls += calls;
    counts.rejected += status == discovery_store_status::rejected ? 1 : 0;
    counts.no_answer += status == discovery_store_status::no_answer ? 1 : 0;
    if (status == discovery_store_status::done ||
        status == discovery_store_status::history_truncated) {
        record_answer();
        return;
    }
    // A single call may fail on a broken connection while other calls are answered.
    duration const time_without_answer = context_.clock.now() - last_answer_at_;
    if (!is_reachable_ || time_without_answer < store_unreachable_timeout)
        return;
    is_reachable_ = false;
    log_.warning("store doesn't answer; the last known configuration and registry stay in use",
                 {field("turned_away", status == discovery_store_status::rejected),
                  field("silent_us", time_without_answer.count())});
    context_.post(store_reachability_changed{.reachable = false});
}

void store_monitor::record_answer()
{
    time_point const now = context_.clock.now();
    duration const outage_duration = now - last_answer_at_;
    last_answer_at_ = now;
    retry_pause_.reset();
    if (is_reachable_)
        return;
    is_reachable_ = true;
    log_.info("store answers",
              {field("away_us", has_been_reachable_ ? outage_duration.count() : 0)});
    if (std::exchange(has_been_reachable_, true))
        on_recovered_();
    context_.post(store_reachability_changed{.reachable = true});
}

void store_monitor::note_position(store_position position, bool from_peer)
{
    bool const is_replacement = std::exchange(knows_era_, true) && position.era > newest_.era;
    if (is_replacement) {
        ++replacements_;
        log_.warning("store returned from an older copy; reading all tables",
                     {field("era", position.era.get()), field("version", position.version.get()),
                      field("era_before", newest_.era.get()),
                      field("version_before", newest_.version.get()),
                      field("from_peer", from_peer)});
        context_.post(store_history_replaced{.era = position.era});
    }
    newest_ = std::max(newest_, position);
}

void store_monitor::record_peer_position(store_position position)
{
    bool const is_stated = position != store_position{};
    if (is_stated)
        note_position(position, true);
}

void store_monitor::record_peer_update()
{
    if (is_reachable_)
        last_answer_at_ = context_.clock.now();
}

duration store_monitor::next_retry_delay()
{
    return retry_pause_.next(context_.random);
}

} // namespace burdockstep::gateway
