#include "services/burdockstep_gateway/discovery/discovery_task.hpp"

#include "libraries/discovery/registry_update.hpp"

#include <algorithm>
#include <iterator>

namespace burdockstep::gateway {

discovery_task::discovery_task(gateway_context& context, discovery_store& source)
    : context_(context), contact_(context, [this] { registrations_.note_store_returned(); }),
      directives_(context, source, contact_,
                  [this](std::set<place_name> const& each) { take_evacuations(each); }),
      registrations_(context, source, contact_,
                     {.on_silence = [this] { set_hears_readers(false); },
                      .on_read =
                          [this](std::vector<wire::registry_update_message> pieces) {
                              tell(std::move(pieces));
                          }}),
      entries_(context, source, contact_)
{}

result<void> discovery_task::try_start()
{
    directives_.read();
    registrations_.start();
    entries_.start();
    update_following();
    return {};
}

void discovery_task::take_evacuations(std::set<place_name> const& evacuated)
{
    duration cold_after{};
    if (directives_.document()) {
        for (service_settings const& each : directives_.document()->services)
            cold_after = std::max(cold_after, each.cold_start_duration);
    }
    registrations_.registry().set_evacuated_places(evacuated, cold_after, context_.clock.now());
    registrations_.publish();
}

void discovery_task::take_news(wire::registry_update_message const& news)
{
    ++news_taken_;
    contact_.note_news();
    auto const whole = assembler_.add_piece(news);
    if (whole && registrations_.take_news(*whole))
        set_hears_readers(true);
    directives_.take_word(news.directives_version);
    entries_.take_word(news.entries_version);
}

void discovery_task::tell(std::vector<wire::registry_update_message> pieces)
{
    for (wire::registry_update_message& each : pieces) {
        each.directives_version = directives_.changed_at();
        each.entries_version = entries_.changed_at();
        context_.post(registry_news_made{.news = std::move(each)});
    }
}

void discovery_task::tell_directives()
{
    if (!reads_for_others_ || !registrations_.is_known())
        return;
    std::uint64_t const version = registrations_.version().get();
    tell(make_registry_update_pieces(version, version, {}));
}

void discovery_task::set_reading_for_others(bool reads)
{
    if (reads == reads_for_others_)
        return;
    reads_for_others_ = reads;
    log_.info("part in reading the registry changed", {field("reads_for_others", reads)});
    registrations_.set_reading_for_others(reads);
    entries_.set_telling(reads);
    update_following();
}

void discovery_task::set_hears_readers(bool hears)
{
    if (hears == hears_readers_)
        return;
    hears_readers_ = hears;
    log_.info("part in reading the registry changed", {field("hears_readers", hears)});
    update_following();
}

void discovery_task::update_following()
{
    bool const follows = reads_for_others_ || !hears_readers_;
    directives_.set_following(follows);
    entries_.set_following(follows);
}

void discovery_task::receive(event const& what)
{
    if (auto const* const heard = std::get_if<peer_directives_heard>(&what)) {
        directives_.take_word(heard->version);
    }
    else if (std::holds_alternative<directives_seen>(what)) {
        tell_directives();
    }
    else if (auto const* const members = std::get_if<members_changed>(&what)) {
        set_reading_for_others(is_registry_reader(context_.settings.instance, members->members));
    }
    else if (auto const* const news = std::get_if<registry_news_heard>(&what)) {
        take_news(news->news);
    }
    else if (auto const* const listed = std::get_if<entries_news_heard>(&what)) {
        entries_.take_news(listed->news);
    }
    else if (auto const* const leaving = std::get_if<upstream_leaving>(&what)) {
        if (registrations_.registry().mark_leaving(leaving->name)) {
            log_.info("upstream leaves", {field("upstream", leaving->name.get()),
                                          field("from_peer", leaving->from_peer)});
            registrations_.publish();
        }
    }
    else if (auto const* const cold = std::get_if<upstream_cold>(&what)) {
        registrations_.registry().mark_cold(cold->name, cold->left, context_.clock.now());
        registrations_.publish();
    }
    else if (auto const* const resumed = std::get_if<process_resumed>(&what)) {
        log_.warning("process stood still; the registry is read before anything is sent",
                     {field("for_us", resumed->stood_still.count())});
        registrations_.read_anew();
        directives_.read();
    }
}

void discovery_task::write_metrics(std::string& out) const
{
    auto const line = [&](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(out), "burdockstep_{} {}\n", name, value);
    };
    line("store_calls_total", contact_.calls());
    line("registry_news_total", news_taken_);
    line("store_reachable", contact_.is_reachable() ? 1 : 0);
    line("configuration_version",
         directives_.document() ? directives_.document()->version.get() : 0);
}

} // namespace burdockstep::gateway
