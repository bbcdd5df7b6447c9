#include "services/burdockstep_gateway/discovery/entries_reader.hpp"

#include "libraries/discovery/entries_update.hpp"
#include "libraries/discovery/store_history.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// Spreads the first reads of entries that start together.
constexpr duration max_first_read_delay = std::chrono::milliseconds(200);
/// In a new deployment all entries start together. The list is polled again when most records have
/// been written.
constexpr duration second_read_delay = std::chrono::milliseconds(1'200);
/// A new entry is found by callers a little later if the list is polled less often.
constexpr growing_pause_options poll_pause_options{.first = std::chrono::milliseconds(250),
                                                   .longest = std::chrono::milliseconds(2'000)};
/// The store runs the writes of all entries one after another.
constexpr growing_pause_options write_pause_options{.first = std::chrono::milliseconds(400),
                                                    .longest = std::chrono::milliseconds(3'000)};
/// How long the store is asked to wait for a change. If a failed connection delays the news of a
/// new entry by some seconds, nothing is lost: callers are also served by the other entries of its
/// place.
constexpr duration max_poll_wait = std::chrono::seconds(5);

} // namespace

entries_reader::entries_reader(gateway_context& context, discovery_store& store_client,
                               store_monitor& monitor)
    : context_(context), store_client_(store_client), store_monitor_(monitor),
      write_timer_(context.loop), read_timer_(context.loop), poll_pause_(poll_pause_options),
      write_pause_(write_pause_options)
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
    self.capacity = settings.capacity;
    return self;
}

void entries_reader::start()
{
    context_.post(entry_records_received{.entries = {own_record()}});
    read_all_after_delay();
}

void entries_reader::read_all_after_delay()
{
    call_pending_ = true;
    full_read_pending_ = true;
    ++current_read_;
    auto const spread = static_cast<std::uint64_t>(max_first_read_delay.count());
    duration const delay(static_cast<std::int64_t>(context_.random.below(spread)));
    read_timer_.start_once(delay, [this] { read_all(); });
}

void entries_reader::write_own_record()
{
    store_client_.write_entry(own_record(), [this](discovery_store_write const& written) {
        store_monitor_.record_result(store_call_purpose::own_entry, written.status,
                                     {.era = written.era, .version = {}});
        if (written.status != discovery_store_status::done)
            write_timer_.start_once(write_pause_.next(context_.random),
                                    [this] { write_own_record(); });
    });
}

void entries_reader::write_own_record_unless_in(std::vector<listed_member> const& entries)
{
    if (std::find(entries.begin(), entries.end(), own_record()) != entries.end())
        return;
    write_timer_.stop();
    write_own_record();
}

void entries_reader::read_all()
{
    std::uint64_t const read_number = ++current_read_;
    call_pending_ = true;
    full_read_pending_ = true;
    store_client_.read_entries([this, read_number](entries_answer const& answer) {
        if (read_number == current_read_)
            handle_full_list(answer);
    });
}

void entries_reader::long_poll(duration max_wait)
{
    std::uint64_t const read_number = ++current_read_;
    call_pending_ = true;
    store_client_.await_entry_changes(position_, max_wait,
                                      [this, read_number](entries_answer const& answer) {
                                          if (read_number == current_read_)
                                              handle_changes(answer);
                                      });
}

void entries_reader::retry(bool is_full_list)
{
    read_timer_.start_once(store_monitor_.next_retry_delay(), [this, is_full_list] {
        is_full_list ? read_all() : long_poll(duration::zero());
    });
}

void entries_reader::handle_full_list(entries_answer const& answer)
{
    store_monitor_.record_result(store_call_purpose::entries, answer.status, answer.position,
                                 answer.calls);
    bool const is_usable = answer.status == discovery_store_status::done &&
                           use_of_answer(position_, store_monitor_.era(), answer.position,
                                         answer_scope::whole_table) == answer_use::apply;
    if (!is_usable) {
        retry(true);
        return;
    }
    if (answer.position < last_change_) {
        // This list is older than an update already applied from another entry.
        retry(true);
        return;
    }
    bool const is_first_read = !std::exchange(first_read_done_, true);
    bool const is_restored = !is_first_read && answer.position.era > position_.era;
    full_read_pending_ = false;
    position_ = answer.position;
    last_change_ = std::max(last_change_, answer.content.last_change);
    context_.post(entry_records_received{.entries = answer.content.entries,
                                         .kind = is_restored ? entry_list_kind::restored_list
                                                             : entry_list_kind::whole_list});
    if (is_first_read || is_restored)
        write_own_record_unless_in(answer.content.entries);
    if (is_first_read) {
        read_timer_.start_once(second_read_delay, [this] { long_poll(duration::zero()); });
        return;
    }
    finish_call();
}

void entries_reader::handle_changes(entries_answer const& answer)
{
    store_monitor_.record_result(store_call_purpose::entry_changes, answer.status, answer.position,
                                 answer.calls);
    if (answer.status == discovery_store_status::history_truncated) {
        log_.info("change history of entries is truncated; reading all entries",
                  {field("after", position_.version.get())});
        read_all();
        return;
    }
    if (answer.status != discovery_store_status::done) {
        retry(false);
        return;
    }
    answer_use const use =
        use_of_answer(position_, store_monitor_.era(), answer.position, answer_scope::changes);
    if (use != answer_use::apply) {
        use == answer_use::read_whole_table ? read_all_after_delay() : retry(false);
        return;
    }
    position_ = std::max(position_, answer.position);
    bool const has_changes = !answer.content.entries.empty();
    if (has_changes) {
        store_position const previous_change = last_change_;
        last_change_ = std::max(last_change_, answer.content.last_change);
        context_.post(entry_records_received{.entries = answer.content.entries});
        if (announces_changes_) {
            announce(make_entries_update(previous_change, last_change_, answer.content.entries),
                     answer.content.entries);
        }
    }
    if (!has_changes)
        poll_pause_.reset();
    finish_call();
}

void entries_reader::announce(wire::entries_update_message const& update,
                              std::vector<listed_member> const& changed)
{
    context_.post(entries_update_ready{.update = update});
    // The receivers of an incomplete update read the list themselves, with the capacities.
    auto const capacities = make_entry_capacities(changed);
    if (update.complete && capacities)
        context_.post(entry_capacities_ready{.capacities = *capacities});
}

void entries_reader::finish_call()
{
    call_pending_ = false;
    // If the known version is at least as new as the change that a peer announced but the change
    // was not in the answer, it was a removal.
    if (position_ >= peer_change_)
        last_change_ = std::max(last_change_, peer_change_);
    if (is_long_polling_ || peer_change_ > last_change_)
        poll_after_pause();
}

void entries_reader::poll_after_pause()
{
    call_pending_ = true;
    read_timer_.start_once(poll_pause_.next(context_.random), [this] {
        long_poll(is_long_polling_ ? max_poll_wait : duration::zero());
    });
}

void entries_reader::set_long_polling(bool enabled)
{
    is_long_polling_ = enabled;
    if (is_long_polling_ && !call_pending_)
        long_poll(max_poll_wait);
}

void entries_reader::note_peer_position(store_position change)
{
    peer_change_ = std::max(peer_change_, change);
    if (!call_pending_ && peer_change_ > last_change_)
        poll_after_pause();
}

void entries_reader::note_history_replaced(store_era era)
{
    if (position_.era < era && !full_read_pending_)
        read_all_after_delay();
}

void entries_reader::handle_update(wire::entries_update_message const& update)
{
    bool const is_contiguous =
        update.complete && update.up_to.era == last_change_.era && update.after <= last_change_;
    if (!is_contiguous) {
        note_peer_position(update.up_to);
        return;
    }
    if (update.up_to <= last_change_)
        return;
    last_change_ = update.up_to;
    context_.post(entry_records_received{.entries = entries_in_update(update)});
}

} // namespace burdockstep::gateway
