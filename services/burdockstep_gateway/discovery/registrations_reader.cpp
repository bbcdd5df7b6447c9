#include "services/burdockstep_gateway/discovery/registrations_reader.hpp"

#include <utility>

namespace burdockstep::gateway {

namespace {

/// An upstream that leaves must be known well within the drain limit, also where one piece of news
/// is lost: an interval, the patience for the next news, and a read across regions.
constexpr int reads_per_drain_limit = 4;
/// An entry that hears no news of the registry for so many intervals reads it by itself.
constexpr double patience_intervals = 1.25;

} // namespace

registrations_reader::registrations_reader(gateway_context& context, discovery_store& source,
                                           store_contact& contact, handlers tell)
    : context_(context), source_(source), contact_(contact), tell_(std::move(tell)),
      registry_({}, context.settings.places), read_timer_(context.loop)
{}

duration registrations_reader::interval() const
{
    duration const usual = context_.settings.drain_limit / reads_per_drain_limit;
    if (reads_for_others_)
        return usual;
    return std::chrono::duration_cast<duration>(usual * patience_intervals);
}

void registrations_reader::read_after(duration pause)
{
    read_timer_.start_once(pause, [this] {
        if (!reads_for_others_)
            tell_.on_silence();
        read();
    });
}

void registrations_reader::read_anew()
{
    read_timer_.stop();
    read();
}

void registrations_reader::note_store_returned()
{
    registry_.note_store_returned(context_.clock.now());
    known_ = false;
    history_lost_ = false;
}

void registrations_reader::read()
{
    if (std::exchange(reading_, true))
        return;
    bool const whole = !known_;
    auto const taken =
        [this, whole](discovery_store_answer<std::vector<registration_change>> const& answer) {
            reading_ = false;
            take(answer, whole);
        };
    if (whole)
        source_.read_registrations(taken);
    else
        source_.read_registration_changes(version_, taken);
}

void registrations_reader::take(
    discovery_store_answer<std::vector<registration_change>> const& answer, bool whole)
{
    contact_.note(answer.status);
    duration pause = interval();
    if (answer.status == discovery_store_status::history_truncated) {
        history_lost_ = known_;
        known_ = false;
        pause = duration::zero();
    }
    else if (answer.status != discovery_store_status::done) {
        pause = contact_.retry_pause();
    }
    else if (!whole && answer.version < version_) {
        log_.debug("read of the registry overtaken by news",
                   {field("read", answer.version.get()), field("known", version_.get())});
    }
    else {
        apply(answer, whole);
    }
    registry_.expire(context_.clock.now());
    publish();
    if (answer.status == discovery_store_status::done)
        context_.post(registry_heard{});
    read_after(pause);
}

void registrations_reader::apply(
    discovery_store_answer<std::vector<registration_change>> const& answer, bool whole)
{
    time_point const now = context_.clock.now();
    auto const news = whole ? snapshot_differences(registry_, answer.content)
                            : significant_changes(registry_, answer.content);
    bool const goes_on = !whole || std::exchange(history_lost_, false);
    if (whole)
        registry_.apply_snapshot(answer.content, now);
    else
        registry_.apply_changes(answer.content, now);
    if (goes_on && reads_for_others_)
        tell_.on_read(make_registry_update_pieces(version_.get(), answer.version.get(), news));
    // A whole read that began before the store's return was noted is repeated.
    known_ = known_ || whole;
    version_ = answer.version;
}

bool registrations_reader::take_news(assembled_registry_update const& news)
{
    if (!known_ || news.version < version_)
        return true;
    bool const misses_some = !news.complete || news.after > version_;
    if (misses_some) {
        if (!reading_)
            read();
        return false;
    }
    // The registry may stand still: then the news is that nothing has changed.
    version_ = news.version;
    registry_.apply_changes(news.changes, context_.clock.now());
    registry_.expire(context_.clock.now());
    publish();
    if (!reads_for_others_ && !reading_)
        read_after(interval());
    return true;
}

void registrations_reader::publish()
{
    if (registry_.changes() == published_changes_)
        return;
    published_changes_ = registry_.changes();
    std::size_t usable = 0;
    for (auto const& [name, known] : registry_.upstreams())
        usable += known.is_usable() ? 1 : 0;
    log_.info("upstreams changed",
              {field("known", registry_.upstreams().size()), field("usable", usable),
               field("store_version", version_.get())});
    context_.post(upstreams_changed{
        .upstreams = std::make_shared<std::map<upstream_name, known_upstream> const>(
            registry_.upstreams())});
}

} // namespace burdockstep::gateway
