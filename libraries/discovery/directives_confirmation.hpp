/// How long ago an entry's directives were provably the newest ones, and whom it asks to learn it.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"
#include "libraries/core/store_position.hpp"
#include "libraries/wire/messages.hpp"

#include <array>
#include <optional>
#include <vector>

namespace burdockstep {

/// Intervals of questions to other entries and of reads of the store.
struct directives_confirmation_options
{
    /// One round of questions begins at most this often.
    duration round_interval = std::chrono::milliseconds(500);
    /// An early round, for a request that needs it, begins at most this often.
    duration early_interval = std::chrono::milliseconds(200);
    /// If the entry asked gives no answer for this long, the next one is asked.
    duration answer_timeout = std::chrono::milliseconds(250);
    /// A round ends with a proof of at most this age; after an older one the next entry is asked.
    duration sufficient_age = std::chrono::milliseconds(1'200);
    /// Once the newest proof is older than this, plus a random part of `store_age_spread`, the
    /// entry reads the store itself. The random part spreads these reads: the first entry that gets
    /// an answer can pass its proof on to the others.
    duration store_age = std::chrono::milliseconds(1'500);
    duration store_age_spread = std::chrono::milliseconds(1'000);
    /// Time from one such read to the next. It doubles up to four times this until a proof arrives.
    duration store_read_interval = std::chrono::milliseconds(500);
    /// Entries asked in one round.
    std::size_t max_questions_per_round = 4;
};

/// What the calling code has to do now.
struct confirmation_actions
{
    struct question_to_send
    {
        address to;
        wire::directives_question question;
    };

    std::optional<question_to_send> question;
    bool read_changes = false; ///< Read the changes of the directives from the store, at once.
    /// Read the directives from the store: another entry has applied those of this position.
    std::optional<store_position> read_directives;
};

/// Totals since the start, for metrics.
struct confirmation_counters
{
    std::uint64_t questions_sent = 0;
    std::uint64_t questions_answered = 0;  ///< Questions of others that were answered.
    std::uint64_t proofs_from_store = 0;   ///< Reads that confirmed the directives.
    std::uint64_t proofs_from_entries = 0; ///< Answers of others that made the proof newer.
    std::uint64_t proofs_without_use = 0;  ///< Answers that were no newer, or of an earlier era.
    std::uint64_t proofs_for_newer = 0;    ///< Answers about directives not yet applied here.
    std::uint64_t store_reads = 0;         ///< Reads because no entry had a proof.
};

/// Keeps the proof "the directives that this entry applies were the newest ones at F". F is when
/// the read of the store that showed it began; a proof that another entry passes on counts from the
/// moment of sending the question less its stated age. So every delay makes a proof older, never
/// newer, and no two clocks are compared.
///
/// `key_trust` needs the proof to refuse withdrawn keys also at entries that are cut off, frozen,
/// or behind a slow store.
class directives_confirmation
{
public:
    directives_confirmation(directives_confirmation_options options, random_source& random);

    /// Starts or stops asking. Proofs that arrive by themselves count either way.
    void set_active(bool active) { is_active_ = active; }
    bool is_active() const { return is_active_; }
    /// Sets whether this entry reads the store at short intervals anyway. If so, it asks others
    /// only while the store gives it no proof.
    void set_reads_store(bool reads) { reads_store_ = reads; }
    /// Sets whom to ask: `preferred` in their order, then some of `others`, which may repeat them.
    /// Without a proof for long, the last one of a round is one of `lost`, which may have returned.
    void set_sources(std::vector<address> preferred, std::vector<address> others,
                     std::vector<address> lost = {});
    /// Takes the newest era of the store that is known. Later proofs of earlier eras don't count.
    void note_era(store_era era);

    /// Takes the answer to a read of the store that began at `call_started`, once its content is
    /// applied.
    void handle_store_answer(store_position applied, time_point call_started);
    /// Takes the position of the applied directives after it has changed.
    void handle_applied(store_position applied);
    /// Returns the answer to another entry's question.
    wire::directives_proof answer(wire::directives_question const& question, time_point now);
    /// Takes another entry's answer.
    confirmation_actions handle_proof(wire::directives_proof const& proof, time_point now);
    /// Begins a round early, because a request needs a newer proof.
    confirmation_actions want_early(time_point now);
    /// Does what is due.
    confirmation_actions tick(time_point now);
    /// When `tick` is next due.
    time_point next_tick(time_point now) const;

    /// The time at which the applied directives were last provably the newest ones.
    std::optional<time_point> fresh_as_of() const { return fresh_as_of_; }
    confirmation_counters const& counters() const { return counters_; }

private:
    struct open_question
    {
        std::uint64_t number = 0;
        time_point sent_at;
        bool is_open = false;
    };
    /// A proof about directives that this entry hasn't applied yet.
    struct early_proof
    {
        store_position position;
        time_point fresh_as_of;
    };

    bool is_older_than(duration age, time_point now) const;
    bool is_round_due(time_point now) const;
    void begin_round(time_point now, confirmation_actions& out);
    void ask_next(time_point now, confirmation_actions& out);
    address random_one_of(std::vector<address> const& entries);
    void read_store_if_due(time_point now, confirmation_actions& out);
    void confirm(time_point fresh_as_of);
    duration random_store_age();

    directives_confirmation_options options_;
    random_source& random_;
    bool is_active_ = false;
    bool reads_store_ = false;
    std::vector<address> preferred_;
    std::vector<address> others_;
    std::vector<address> lost_;
    store_era newest_era_;
    store_position applied_;
    std::optional<time_point> fresh_as_of_;
    std::optional<early_proof> early_proof_;
    /// The latest questions: a late answer counts from the time of its own question.
    std::array<open_question, 8> questions_;
    std::uint64_t last_number_;
    std::optional<time_point> round_began_at_;
    std::vector<address> asked_next_;         ///< Whom this round still asks, the next one last.
    std::optional<time_point> answer_due_at_; ///< If the latest question has no answer yet.
    duration store_age_limit_;                ///< `store_age` with its random part.
    unsigned store_reads_without_proof_ = 0;
    std::optional<time_point> store_read_at_;
    confirmation_counters counters_;
};

} // namespace burdockstep
