/// This entry's record in the store, and the records of the others.
#pragma once

#include "services/burdockstep_gateway/discovery/store_contact.hpp"

#include "libraries/core/log.hpp"
#include "libraries/discovery/discovery_store.hpp"

namespace burdockstep::gateway {

/// Writes this entry's record and keeps the list of entries up to date: it waits at the store for
/// changes while it is told to follow, and tells the other entries of them; else it takes theirs.
class entries_reader
{
public:
    entries_reader(gateway_context& context, discovery_store& source, store_contact& contact);

    void start();
    /// Whether this entry waits at the store for changes.
    void set_following(bool following);
    /// Whether it tells the other entries of changes.
    void set_telling(bool telling) { telling_ = telling; }
    /// Another entry tells what changed.
    void take_news(wire::entries_update_message const& news);
    /// A peer knows of a change of the list at this version of the store.
    void take_word(std::uint64_t changed);

    /// When the list was last changed, as entries tell one another.
    std::uint64_t changed_at() const { return changed_at_; }

private:
    using answer_type = discovery_store_answer<entry_records>;

    listed_member own_record() const;
    void write_own_record();
    void read();
    void look_again();
    void follow(duration patience);
    void take_whole(answer_type const& answer);
    void take_changes(answer_type const& answer);
    void retry(bool whole);
    void go_on();

    gateway_context& context_;
    discovery_store& source_;
    store_contact& contact_;
    logger log_{"entries"};
    timer write_timer_;
    timer read_timer_;
    store_version version_; ///< The store's, up to which changes are known.
    std::uint64_t changed_at_ = 0;
    std::uint64_t wanted_ = 0; ///< A peer knows of this change.
    bool read_once_ = false;
    bool under_way_ = false; ///< A call, or the pause before one.
    bool following_ = false;
    bool telling_ = true;
};

} // namespace burdockstep::gateway
