#include "services/burdockstep_gateway/discovery/discovery_task.hpp"

#include "libraries/discovery/registry_news.hpp"

#include <algorithm>
#include <iterator>

namespace burdockstep::gateway {

namespace {

/// How long the store is asked to wait for a change. Peers tell of changes meanwhile.
constexpr duration follow_patience = std::chrono::seconds(10);
/// An upstream that leaves must be known well within the drain limit, also where one piece of news
/// is lost: an interval, the patience for the next news, and a read across regions.
constexpr int registration_reads_per_drain_limit = 4;
/// An entry that hears no news of the registry for so many intervals reads it by itself.
constexpr double patience_intervals = 1.25;
/// All entries start together: their records are read once most have been written.
constexpr duration entries_first_read = std::chrono::milliseconds(700);
constexpr duration entries_second_read = std::chrono::milliseconds(2'500);
constexpr duration shortest_retry = std::chrono::milliseconds(250);
constexpr duration longest_retry_spread = std::chrono::milliseconds(250);
/// Without an answer of the store for so long, it is taken to be away, and what is known of routes
/// may be out of date: the configuration is in force everywhere after about this time.
constexpr duration contact_lifetime = std::chrono::milliseconds(1'500);

} // namespace

discovery_task::discovery_task(gateway_context& context, platform_source& source)
    : context_(context), source_(source), registry_({}, context.settings.places),
      directives_timer_(context.loop), registrations_timer_(context.loop),
      entries_timer_(context.loop), own_entry_timer_(context.loop)
{}

result<void> discovery_task::try_start()
{
    context_.post(entries_read{.entries = {own_entry()}, .whole = false});
    read_directives();
    read_registrations();
    write_own_entry();
    entries_timer_.start_once(entries_first_read, [this] { read_entries(); });
    return {};
}

duration discovery_task::retry_pause()
{
    auto const spread = static_cast<std::uint64_t>(longest_retry_spread.count());
    return shortest_retry + duration(static_cast<std::int64_t>(context_.random.below(spread)));
}

listed_member discovery_task::own_entry() const
{
    gateway_settings const& settings = context_.settings;
    listed_member self;
    self.instance = settings.instance;
    self.place = settings.place;
    self.region = settings.region;
    self.callers = settings.callers;
    self.peers = settings.peers;
    return self;
}

void discovery_task::note_contact(source_status status)
{
    ++calls_;
    time_point const now = context_.clock.now();
    bool const answered = status == source_status::done || status == source_status::history_lost;
    if (answered) {
        duration const away = now - last_contact_;
        last_contact_ = now;
        if (reachable_)
            return;
        reachable_ = true;
        log_.info("store answers", {field("away_us", was_reachable_ ? away.count() : 0)});
        if (std::exchange(was_reachable_, true)) {
            registry_.note_store_returned(now);
            registrations_known_ = false;
        }
        context_.post(store_reachability{.reachable = true});
        return;
    }
    // A single call may fail on a connection that went silent while others are answered.
    if (!reachable_ || now - last_contact_ < contact_lifetime)
        return;
    reachable_ = false;
    log_.warning("store doesn't answer; what is known stays in force",
                 {field("turned_away", status == source_status::turned_away),
                  field("silent_us", (now - last_contact_).count())});
    context_.post(store_reachability{.reachable = false});
}

void discovery_task::read_directives()
{
    std::uint64_t const call = ++directives_call_;
    reading_directives_ = true;
    source_.read_directives([this, call](source_answer<operator_directives> const& answer) {
        if (call == directives_call_)
            take_directives(answer, true);
    });
}

void discovery_task::follow_directives()
{
    std::uint64_t const call = ++directives_call_;
    source_.follow_directives(directives_version_, follow_patience,
                              [this, call](source_answer<operator_directives> const& answer) {
                                  if (call == directives_call_)
                                      take_directives(answer, false);
                              });
}

void discovery_task::take_directives(source_answer<operator_directives> const& answer, bool whole)
{
    note_contact(answer.status);
    reading_directives_ = false;
    if (answer.status == source_status::history_lost) {
        log_.info("history of directives lost; reading them whole",
                  {field("after", directives_version_.get())});
        read_directives();
        return;
    }
    if (answer.status != source_status::done) {
        directives_timer_.start_once(
            retry_pause(), [this, whole] { whole ? read_directives() : follow_directives(); });
        return;
    }
    operator_directives const& content = answer.content;
    std::set<place_name> evacuated = whole ? std::set<place_name>{} : evacuated_;
    evacuated.insert(content.evacuated.begin(), content.evacuated.end());
    for (place_name const& each : content.taken_back)
        evacuated.erase(each);
    if (evacuated != evacuated_) {
        log_.info("evacuations changed", {field("places", evacuated.size()),
                                          field("store_version", answer.version.get())});
        evacuated_ = evacuated;
        duration cold_after{};
        if (document_) {
            for (service_terms const& each : document_->services)
                cold_after = std::max(cold_after, each.cold_start);
        }
        registry_.set_evacuated(evacuated_, cold_after, context_.clock.now());
        publish_upstreams();
    }
    if (content.routing)
        adopt(content.routing);
    directives_version_ = std::max(directives_version_, answer.version);
    note_directives_changed(content.changed_at.get());
    // A peer's change that this answer is newer than was a removal: no row tells of it.
    if (whole && answer.version.get() >= wanted_directives_)
        note_directives_changed(wanted_directives_);
    follow_directives();
}

void discovery_task::note_directives_changed(std::uint64_t changed)
{
    if (changed <= directives_changed_)
        return;
    directives_changed_ = changed;
    context_.post(directives_seen{.version = changed});
}

void discovery_task::adopt(std::shared_ptr<routing_document const> document)
{
    if (document_ && document->version <= document_->version)
        return;
    document_ = std::move(document);
    log_.info("configuration in force", {field("version", document_->version.get()),
                                         field("routes", document_->routes.size()),
                                         field("services", document_->services.size())});
    context_.post(routing_adopted{.document = document_});
}

void discovery_task::read_registrations()
{
    if (std::exchange(reading_registrations_, true))
        return;
    bool const whole = !registrations_known_;
    auto const take = [this, whole](source_answer<std::vector<registration_change>> const& answer) {
        reading_registrations_ = false;
        take_registrations(answer, whole);
    };
    if (whole)
        source_.read_registrations(take);
    else
        source_.follow_registrations(registrations_version_, take);
}

void discovery_task::take_registrations(
    source_answer<std::vector<registration_change>> const& answer, bool whole)
{
    note_contact(answer.status);
    time_point const now = context_.clock.now();
    duration pause = read_interval();
    if (answer.status == source_status::history_lost) {
        registrations_known_ = false;
        pause = duration::zero();
    }
    else if (answer.status != source_status::done) {
        pause = retry_pause();
    }
    else if (!whole && answer.version < registrations_version_) {
        log_.debug(
            "read of the registry overtaken by news",
            {field("read", answer.version.get()), field("known", registrations_version_.get())});
    }
    else {
        auto const news = worth_telling(registry_, answer.content);
        if (whole)
            registry_.take_all(answer.content, now);
        else
            registry_.take_changes(answer.content, now);
        if (!whole && reads_for_others_) {
            context_.post(registry_news_made{
                .news = make_news(registrations_version_.get(), answer.version.get(), news)});
        }
        // A whole read that began before the store's return was noted is repeated.
        registrations_known_ = registrations_known_ || whole;
        registrations_version_ = answer.version;
    }
    registry_.expire(now);
    publish_upstreams();
    if (answer.status == source_status::done)
        context_.post(registry_heard{});
    registrations_timer_.start_once(pause, [this] { read_registrations(); });
}

duration discovery_task::read_interval() const
{
    return context_.settings.drain_limit / registration_reads_per_drain_limit;
}

void discovery_task::take_news(wire::registry_news const& news)
{
    if (!registrations_known_ || news.version < registrations_version_.get())
        return;
    bool const misses_some = !news.complete || news.after > registrations_version_.get();
    if (misses_some) {
        if (!reading_registrations_)
            read_registrations();
        return;
    }
    // The registry may stand still: then the news is that nothing has changed.
    ++news_taken_;
    registrations_version_ = store_version(news.version);
    registry_.take_changes(changes_of(news), context_.clock.now());
    publish_upstreams();
    if (reads_for_others_ || reading_registrations_)
        return;
    duration const patience =
        std::chrono::duration_cast<duration>(read_interval() * patience_intervals);
    registrations_timer_.start_once(patience, [this] { read_registrations(); });
}

void discovery_task::publish_upstreams()
{
    if (registry_.changes() == published_changes_)
        return;
    published_changes_ = registry_.changes();
    std::size_t usable = 0;
    for (auto const& [name, known] : registry_.upstreams())
        usable += known.is_usable() ? 1 : 0;
    log_.info("upstreams changed",
              {field("known", registry_.upstreams().size()), field("usable", usable),
               field("store_version", registrations_version_.get())});
    context_.post(upstreams_changed{
        .upstreams = std::make_shared<std::map<upstream_name, known_upstream> const>(
            registry_.upstreams())});
}

void discovery_task::write_own_entry()
{
    source_.write_entry(own_entry(), [this](source_status status) {
        note_contact(status);
        if (status != source_status::done)
            own_entry_timer_.start_once(retry_pause(), [this] { write_own_entry(); });
    });
}

void discovery_task::read_entries()
{
    source_.read_entries([this](source_answer<std::vector<listed_member>> const& answer) {
        note_contact(answer.status);
        if (answer.status != source_status::done) {
            entries_timer_.start_once(retry_pause(), [this] { read_entries(); });
            return;
        }
        bool const first = entries_version_ == store_version{};
        entries_version_ = answer.version;
        context_.post(entries_read{.entries = answer.content, .whole = true});
        if (first)
            entries_timer_.start_once(entries_second_read, [this] { follow_entries(); });
        else
            follow_entries();
    });
}

void discovery_task::follow_entries()
{
    source_.follow_entries(
        entries_version_, follow_patience * 2,
        [this](source_answer<std::vector<listed_member>> const& answer) {
            note_contact(answer.status);
            if (answer.status == source_status::history_lost) {
                read_entries();
                return;
            }
            if (answer.status != source_status::done) {
                entries_timer_.start_once(retry_pause(), [this] { follow_entries(); });
                return;
            }
            entries_version_ = std::max(entries_version_, answer.version);
            if (!answer.content.empty())
                context_.post(entries_read{.entries = answer.content, .whole = false});
            follow_entries();
        });
}

void discovery_task::receive(event const& what)
{
    time_point const now = context_.clock.now();
    if (auto const* const heard = std::get_if<peer_directives_heard>(&what)) {
        wanted_directives_ = std::max(wanted_directives_, heard->version);
        if (wanted_directives_ > directives_changed_ && reachable_ && !reading_directives_)
            read_directives();
    }
    else if (auto const* const members = std::get_if<members_changed>(&what)) {
        bool const reads = reads_for_others(context_.settings.instance, members->members);
        if (reads != reads_for_others_)
            log_.info("part in reading the registry changed", {field("reads_for_others", reads)});
        reads_for_others_ = reads;
    }
    else if (auto const* const news = std::get_if<registry_news_heard>(&what)) {
        take_news(news->news);
    }
    else if (auto const* const leaving = std::get_if<upstream_leaving>(&what)) {
        if (registry_.note_leaving(leaving->name)) {
            log_.info("upstream leaves", {field("upstream", leaving->name.get()),
                                          field("from_peer", leaving->from_peer)});
            publish_upstreams();
        }
    }
    else if (auto const* const cold = std::get_if<upstream_cold>(&what)) {
        registry_.note_cold(cold->name, cold->left, now);
        publish_upstreams();
    }
    else if (auto const* const resumed = std::get_if<process_resumed>(&what)) {
        log_.warning("process stood still; the registry is read before anything is sent",
                     {field("for_us", resumed->stood_still.count())});
        registrations_timer_.stop();
        read_registrations();
        read_directives();
    }
}

void discovery_task::write_metrics(std::string& out) const
{
    fmt::format_to(std::back_inserter(out), "burdockstep_store_calls_total {}\n", calls_);
    fmt::format_to(std::back_inserter(out), "burdockstep_registry_news_total {}\n", news_taken_);
    fmt::format_to(std::back_inserter(out), "burdockstep_store_reachable {}\n", reachable_ ? 1 : 0);
    fmt::format_to(std::back_inserter(out), "burdockstep_configuration_version {}\n",
                   document_ ? document_->version.get() : 0);
}

} // namespace burdockstep::gateway
