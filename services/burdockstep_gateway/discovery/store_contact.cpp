#include "services/burdockstep_gateway/discovery/store_contact.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

constexpr duration shortest_retry = std::chrono::milliseconds(250);
/// An entry that the store turns away asks about once a second: what it misses it can't learn
/// sooner, and its calls are the store's load.
constexpr duration longest_retry = std::chrono::milliseconds(700);
/// Without an answer of the store for so long, it is taken to be away, and what is known of routes
/// may be out of date: the configuration is in force everywhere after about this time.
constexpr duration contact_lifetime = std::chrono::milliseconds(1'500);

} // namespace

store_contact::store_contact(gateway_context& context, std::function<void()> on_return)
    : context_(context), on_return_(std::move(on_return))
{}

void store_contact::note(discovery_store_status status)
{
    ++calls_;
    if (status == discovery_store_status::done ||
        status == discovery_store_status::history_truncated) {
        note_answer();
        return;
    }
    ++failures_in_row_;
    // A single call may fail on a connection that went silent while others are answered.
    duration const silent = context_.clock.now() - last_contact_;
    if (!reachable_ || silent < contact_lifetime)
        return;
    reachable_ = false;
    log_.warning("store doesn't answer; what is known stays in force",
                 {field("turned_away", status == discovery_store_status::rejected),
                  field("silent_us", silent.count())});
    context_.post(store_reachability{.reachable = false});
}

void store_contact::note_answer()
{
    time_point const now = context_.clock.now();
    duration const away = now - last_contact_;
    last_contact_ = now;
    failures_in_row_ = 0;
    if (reachable_)
        return;
    reachable_ = true;
    log_.info("store answers", {field("away_us", was_reachable_ ? away.count() : 0)});
    if (std::exchange(was_reachable_, true))
        on_return_();
    context_.post(store_reachability{.reachable = true});
}

void store_contact::note_news()
{
    if (reachable_)
        last_contact_ = context_.clock.now();
}

duration store_contact::retry_pause()
{
    duration const pause = std::min(longest_retry, shortest_retry * (1 + failures_in_row_ / 4));
    auto const spread = static_cast<std::uint64_t>(pause.count());
    return pause / 2 + duration(static_cast<std::int64_t>(context_.random.below(spread)));
}

} // namespace burdockstep::gateway
