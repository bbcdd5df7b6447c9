/// The spent tickets of one incarnation.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/tickets/ticket.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockstep {

/// Limits of a ledger.
struct redeemed_ticket_table_options
{
    /// Tickets of the present epoch and the one before are taken; older ones are forgotten.
    duration epoch_length = std::chrono::seconds(60);
    /// Epochs that stay remembered after the present one.
    std::uint64_t retained_epochs = 3;
    std::size_t max_records = 200'000;
    /// Answers no larger than this are kept for repeats, in bytes.
    std::size_t max_retained_answer_bytes = 4'096;
    /// Sum of all kept answers, in bytes.
    std::size_t max_total_retained_bytes = std::size_t{8} * 1024 * 1024;
};

/// An answer as a repeat of the request gets it.
struct retained_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// How a spent ticket's request ended.
enum class ticketed_request_state
{
    in_flight, ///< Running, or waiting to run.
    answered,
    not_run,
    unknown
};

/// What the ledger says of a request that presents a ticket.
enum class redemption_verdict
{
    fresh,                 ///< It is spent now: this presentation, and no other, may run.
    in_flight,             ///< A repeat while the first is in flight: wait for it.
    answered,              ///< A repeat: give the kept answer.
    answered_not_retained, ///< A repeat whose answer was too large or too old to keep.
    not_run,               ///< A repeat of a request that was refused, and never will run.
    unknown,               ///< A repeat whose outcome is unknown.
    conflict,              ///< The ticket was spent on a request with other bytes.
    epoch_discarded,       ///< The epoch is out of memory: it may have run.
    epoch_closed,          ///< Refused, never to run: the epoch takes no new tickets.
    epoch_not_open         ///< The epoch isn't open yet; no such ticket can exist honestly.
};

/// Verdict, and the kept answer when there is one.
struct redemption_result
{
    redemption_verdict verdict = redemption_verdict::unknown;
    std::shared_ptr<retained_answer const> answer;
};

/// Remembers every ticket spent in the remembered epochs. A ticket runs at most once: `redeem`
/// says `fresh` once for each, and never for an epoch that is forgotten or closed.
class redeemed_ticket_table
{
public:
    redeemed_ticket_table(redeemed_ticket_table_options options, time_point now);

    /// The epoch that new tickets should carry.
    epoch_number current_epoch() const { return current_epoch_; }
    /// Moves to the epoch that the time asks for and forgets the old ones.
    void advance_to(time_point now);
    /// Judges a ticket of this incarnation, and spends it when it is fresh.
    redemption_result redeem(ticket const& presented, digest const& request_digest, time_point now);
    /// Judges a ticket that was spent before, without spending anything.
    redemption_result check_redeemed(ticket const& redeemed, digest const& request_digest) const;
    /// Notes the outcome of a spent ticket. `answer` is kept when it is small enough.
    void record_outcome(ticket const& redeemed, ticketed_request_state state,
                        std::optional<retained_answer> answer);

    std::size_t records() const { return record_count_; }
    std::size_t retained_bytes() const { return retained_bytes_; }

private:
    struct redemption_record
    {
        digest request_digest;
        ticketed_request_state state = ticketed_request_state::in_flight;
        std::shared_ptr<retained_answer const> answer;
    };

    struct digest_hash
    {
        std::size_t operator()(digest const& value) const noexcept { return value.low; }
    };

    using epoch_records = std::unordered_map<digest, redemption_record, digest_hash>;

    static redemption_result check_duplicate(redemption_record const& found,
                                             digest const& request_digest);
    void close_epochs_through(epoch_number epoch);
    void open_epoch(epoch_number epoch, time_point now);
    void discard_old_epochs();
    void subtract_retained_bytes(epoch_records const& records);

    redeemed_ticket_table_options options_;
    epoch_number current_epoch_{1};
    /// Epochs up to this one take no new tickets, so what they don't hold was never run.
    epoch_number last_closed_epoch_{0};
    /// Epochs up to this one are forgotten: what they held is unknown.
    epoch_number last_discarded_epoch_{0};
    time_point current_epoch_start_;
    std::map<epoch_number, epoch_records> records_by_epoch_;
    std::size_t record_count_ = 0;
    std::size_t retained_bytes_ = 0;
};

} // namespace burdockstep
