#include "services/burdockstep_gateway/discovery/entries_reader.hpp"

#include "libraries/discovery/entries_update.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// All entries start together: their records are read once most have been written, and again.
constexpr duration first_read = std::chrono::milliseconds(700);
constexpr duration second_read = std::chrono::milliseconds(2'500);
/// How long the store is asked to wait for a change. Nothing is late for a few seconds: an entry
/// that has started is also served by those of its own place.
constexpr duration follow_patience = std::chrono::seconds(5);
/// Entries that learn of a change together don't read together.
constexpr duration look_spread = std::chrono::milliseconds(400);

} // namespace

entries_reader::entries_reader(gateway_context& context, discovery_store& source,
                               store_contact& contact)
    : context_(context), source_(source), contact_(contact), write_timer_(context.loop),
      read_timer_(context.loop)
{}

listed_member entries_reader::own_record() const
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

void entries_reader::start()
{
    context_.post(entries_read{.entries = {own_record()}, .whole = false});
    write_own_record();
    under_way_ = true;
    read_timer_.start_once(first_read, [this] { read(); });
}

void entries_reader::write_own_record()
{
    source_.write_entry(own_record(), [this](discovery_store_status status) {
        contact_.note(status);
        if (status != discovery_store_status::done)
            write_timer_.start_once(contact_.retry_pause(), [this] { write_own_record(); });
    });
}

void entries_reader::read()
{
    under_way_ = true;
    source_.read_entries([this](answer_type const& answer) { take_whole(answer); });
}

void entries_reader::follow(duration patience)
{
    under_way_ = true;
    source_.await_entry_changes(version_, patience,
                                [this](answer_type const& answer) { take_changes(answer); });
}

void entries_reader::retry(bool whole)
{
    read_timer_.start_once(contact_.retry_pause(),
                           [this, whole] { whole ? read() : follow(duration::zero()); });
}

void entries_reader::take_whole(answer_type const& answer)
{
    contact_.note(answer.status);
    if (answer.status != discovery_store_status::done) {
        retry(true);
        return;
    }
    if (answer.version.get() < changed_at_) {
        // Overtaken by another entry's news.
        read();
        return;
    }
    version_ = answer.version;
    changed_at_ = std::max(changed_at_, answer.content.last_change_version.get());
    context_.post(entries_read{.entries = answer.content.entries, .whole = true});
    if (!std::exchange(read_once_, true)) {
        read_timer_.start_once(second_read, [this] { follow(duration::zero()); });
        return;
    }
    go_on();
}

void entries_reader::take_changes(answer_type const& answer)
{
    contact_.note(answer.status);
    if (answer.status == discovery_store_status::history_truncated) {
        log_.info("history of entries lost; reading them whole", {field("after", version_.get())});
        read();
        return;
    }
    if (answer.status != discovery_store_status::done) {
        retry(false);
        return;
    }
    version_ = std::max(version_, answer.version);
    if (!answer.content.entries.empty()) {
        std::uint64_t const before = changed_at_;
        changed_at_ = std::max(changed_at_, answer.content.last_change_version.get());
        context_.post(entries_read{.entries = answer.content.entries, .whole = false});
        if (telling_) {
            context_.post(entries_news_made{
                .news = make_entries_update(before, changed_at_, answer.content.entries)});
        }
    }
    go_on();
}

void entries_reader::go_on()
{
    under_way_ = false;
    // A change that this answer is newer than and doesn't tell of was a removal.
    if (version_.get() >= wanted_)
        changed_at_ = std::max(changed_at_, wanted_);
    if (following_)
        follow(follow_patience);
    else if (wanted_ > changed_at_)
        look_again();
}

void entries_reader::look_again()
{
    under_way_ = true;
    auto const spread = static_cast<std::uint64_t>(look_spread.count());
    duration const pause(static_cast<std::int64_t>(context_.random.below(spread)));
    read_timer_.start_once(pause, [this] { follow(duration::zero()); });
}

void entries_reader::set_following(bool following)
{
    following_ = following;
    if (following_ && !under_way_)
        follow(follow_patience);
}

void entries_reader::take_word(std::uint64_t changed)
{
    wanted_ = std::max(wanted_, changed);
    if (!under_way_ && wanted_ > changed_at_)
        look_again();
}

void entries_reader::take_news(wire::entries_update_message const& news)
{
    bool const follows_on = news.complete && news.after <= changed_at_;
    if (!follows_on) {
        take_word(news.version);
        return;
    }
    if (news.version <= changed_at_)
        return;
    changed_at_ = news.version;
    context_.post(entries_read{.entries = entries_in_update(news), .whole = false});
}

} // namespace burdockstep::gateway
