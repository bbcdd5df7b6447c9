/// The tickets that one incarnation of an entry has redeemed.
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

/// Epoch length and size limits of a `redeemed_ticket_table`.
struct redeemed_ticket_table_options
{
    /// New tickets are accepted from the current epoch and the one before it.
    duration epoch_length = std::chrono::seconds(60);
    /// Number of epochs before the current one whose records are retained.
    std::uint64_t retained_epochs = 3;
    /// When this many tickets are recorded, the epoch of the next unused ticket is closed.
    std::size_t max_records = 200'000;
    /// Largest answer body that is retained for duplicates, in bytes.
    std::size_t max_retained_answer_bytes = 4'096;
    /// Upper bound for the total size of all retained answer bodies, in bytes.
    std::size_t max_total_retained_bytes = std::size_t{8} * 1024 * 1024;
};

/// The answer to a request, retained so that duplicates of the request receive it again.
struct retained_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// State of the request that redeemed a ticket.
enum class ticketed_request_state
{
    in_flight, ///< Running, or waiting to run.
    answered,  ///< An upstream answered it.
    not_run,   ///< No upstream ran it, and none will.
    unknown    ///< It may have run.
};

/// How a request that presents a ticket must be handled.
enum class redemption_verdict
{
    fresh,                 ///< First use of the ticket: this request may run, and no other.
    in_flight,             ///< Duplicate of a request that is in flight: wait for the original.
    answered,              ///< Duplicate of an answered request: return the retained answer.
    answered_not_retained, ///< Duplicate of a request whose answer exceeded a size limit.
    not_run,               ///< Duplicate of a request that was refused and will never run.
    unknown,               ///< Duplicate of a request whose outcome is unknown.
    conflict,              ///< A request with different content has redeemed the ticket.
    epoch_discarded,       ///< The epoch's records are discarded: the request may have run.
    epoch_closed,          ///< The epoch accepts no new tickets: the request will never run.
    epoch_not_open         ///< The epoch has not started, so the ticket is not genuine.
};

/// The verdict on a presented ticket, and the retained answer if there is one.
struct redemption_result
{
    redemption_verdict verdict = redemption_verdict::unknown;
    std::shared_ptr<retained_answer const> answer;
};

/// Records every ticket redeemed in the retained epochs and so ensures that the request of a ticket
/// runs at most once: `redeem` returns `fresh` once for each ticket, and never for a ticket of an
/// epoch that is closed or discarded.
class redeemed_ticket_table
{
public:
    redeemed_ticket_table(redeemed_ticket_table_options options, time_point now);

    /// The epoch to put into new tickets.
    epoch_number current_epoch() const { return current_epoch_; }
    /// Opens the epochs that have started by `now`, and discards those past retention.
    void advance_to(time_point now);
    /// Checks a ticket of this incarnation. A `fresh` ticket is recorded as redeemed.
    redemption_result redeem(ticket const& presented, digest const& request_digest, time_point now);
    /// Checks a ticket that was redeemed before, without redeeming anything.
    redemption_result check_redeemed(ticket const& redeemed, digest const& request_digest) const;
    /// Records how the request of a redeemed ticket ended. `answer` is retained when it is within
    /// the size limits.
    void record_outcome(ticket const& redeemed, ticketed_request_state state,
                        std::optional<retained_answer> answer);

    /// Number of recorded tickets.
    std::size_t records() const { return record_count_; }
    /// Total size of the retained answer bodies.
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
    /// Epochs up to this one accept no new tickets, so an unrecorded ticket of theirs has never
    /// run.
    epoch_number last_closed_epoch_{0};
    /// Records of epochs up to this one are discarded: any ticket of theirs may have run.
    epoch_number last_discarded_epoch_{0};
    time_point current_epoch_start_;
    std::map<epoch_number, epoch_records> records_by_epoch_;
    std::size_t record_count_ = 0;
    std::size_t retained_bytes_ = 0;
};

} // namespace burdockstep
