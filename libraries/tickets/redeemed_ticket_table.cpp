#include "libraries/tickets/redeemed_ticket_table.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

redeemed_ticket_table::redeemed_ticket_table(redeemed_ticket_table_options options, time_point now)
    : options_(options), current_epoch_start_(now)
{}

void redeemed_ticket_table::advance_to(time_point now)
{
    while (now - current_epoch_start_ >= options_.epoch_length)
        open_epoch(epoch_number(current_epoch_.get() + 1),
                   current_epoch_start_ + options_.epoch_length);
}

void redeemed_ticket_table::open_epoch(epoch_number epoch, time_point now)
{
    current_epoch_ = epoch;
    current_epoch_start_ = now;
    // Unused tickets of the previous epoch are still accepted, because callers hold them in their
    // lookup caches.
    if (epoch.get() >= 2)
        close_epochs_through(epoch_number(epoch.get() - 2));
    discard_old_epochs();
}

void redeemed_ticket_table::close_epochs_through(epoch_number epoch)
{
    last_closed_epoch_ = std::max(last_closed_epoch_, epoch);
}

void redeemed_ticket_table::discard_old_epochs()
{
    if (current_epoch_.get() <= options_.retained_epochs)
        return;
    epoch_number const last_discarded(current_epoch_.get() - options_.retained_epochs - 1);
    last_discarded_epoch_ = std::max(last_discarded_epoch_, last_discarded);
    while (!records_by_epoch_.empty() &&
           records_by_epoch_.begin()->first <= last_discarded_epoch_) {
        subtract_retained_bytes(records_by_epoch_.begin()->second);
        record_count_ -= records_by_epoch_.begin()->second.size();
        records_by_epoch_.erase(records_by_epoch_.begin());
    }
}

void redeemed_ticket_table::subtract_retained_bytes(epoch_records const& records)
{
    for (auto const& [nonce, each] : records) {
        if (each.answer)
            retained_bytes_ -= each.answer->body.size();
    }
}

redemption_result redeemed_ticket_table::redeem(ticket const& presented,
                                                digest const& request_digest, time_point now)
{
    advance_to(now);
    if (presented.epoch <= last_discarded_epoch_)
        return {.verdict = redemption_verdict::epoch_discarded};
    if (presented.epoch > current_epoch_)
        return {.verdict = redemption_verdict::epoch_not_open};
    epoch_records& records = records_by_epoch_[presented.epoch];
    auto const found = records.find(presented.nonce);
    if (found != records.end())
        return check_duplicate(found->second, request_digest);
    if (presented.epoch <= last_closed_epoch_)
        return {.verdict = redemption_verdict::epoch_closed};
    if (record_count_ >= options_.max_records) {
        // There is no space to record the refusal, so the whole epoch is closed: a late copy of
        // this request is then refused without a record of its own.
        close_epochs_through(presented.epoch);
        if (current_epoch_ <= last_closed_epoch_)
            open_epoch(epoch_number(last_closed_epoch_.get() + 1), now);
        return {.verdict = redemption_verdict::epoch_closed};
    }
    records.emplace(presented.nonce, redemption_record{.request_digest = request_digest});
    ++record_count_;
    return {.verdict = redemption_verdict::fresh};
}

redemption_result redeemed_ticket_table::check_redeemed(ticket const& redeemed,
                                                        digest const& request_digest) const
{
    auto const epoch = records_by_epoch_.find(redeemed.epoch);
    if (epoch == records_by_epoch_.end())
        return {.verdict = redemption_verdict::epoch_discarded};
    auto const found = epoch->second.find(redeemed.nonce);
    if (found == epoch->second.end())
        return {.verdict = redemption_verdict::epoch_discarded};
    return check_duplicate(found->second, request_digest);
}

redemption_result redeemed_ticket_table::check_duplicate(redemption_record const& found,
                                                         digest const& request_digest)
{
    if (found.request_digest != request_digest)
        return {.verdict = redemption_verdict::conflict};
    switch (found.state) {
    case ticketed_request_state::in_flight:
        return {.verdict = redemption_verdict::in_flight};
    case ticketed_request_state::answered:
        if (!found.answer)
            return {.verdict = redemption_verdict::answered_not_retained};
        return {.verdict = redemption_verdict::answered, .answer = found.answer};
    case ticketed_request_state::not_run:
        return {.verdict = redemption_verdict::not_run};
    case ticketed_request_state::unknown:
        return {.verdict = redemption_verdict::unknown};
    }
    return {.verdict = redemption_verdict::unknown};
}

void redeemed_ticket_table::record_outcome(ticket const& redeemed, ticketed_request_state state,
                                           std::optional<retained_answer> answer)
{
    auto const epoch = records_by_epoch_.find(redeemed.epoch);
    if (epoch == records_by_epoch_.end())
        return;
    auto const found = epoch->second.find(redeemed.nonce);
    if (found == epoch->second.end() || found->second.state != ticketed_request_state::in_flight)
        return;
    found->second.state = state;
    if (!answer)
        return;
    std::size_t const size = answer->body.size();
    if (size > options_.max_retained_answer_bytes ||
        retained_bytes_ + size > options_.max_total_retained_bytes)
        return;
    retained_bytes_ += size;
    found->second.answer = std::make_shared<retained_answer const>(std::move(*answer));
}

} // namespace burdockstep
