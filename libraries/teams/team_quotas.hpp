/// The quotas of teams over all entries, as one entry takes part in them.
#pragma once

#include "libraries/teams/decaying_count.hpp"
#include "libraries/teams/quota_gate.hpp"
#include "libraries/teams/quota_owner.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstep {

/// Identifies a datagram with questions and its answer.
using quota_question_number = strong_type<std::uint64_t, struct quota_question_number_tag>;

/// Questions to one owner, sent together.
struct quota_question_batch
{
    address to;
    quota_question_number number;
    std::vector<quota_question> questions;
};

/// The verdict on a request that was pending.
struct late_quota_verdict
{
    request_id request;
    quota_answer answer;
};

/// Numbers since the start.
struct quota_counters
{
    std::array<std::uint64_t, quota_verdict_count> verdicts{};
    std::uint64_t question_batches = 0;
    std::uint64_t questions = 0;
    std::uint64_t unanswered_batches = 0;
    std::uint64_t tokens_lapsed = 0;
    std::uint64_t tokens_given_back = 0;
};

/// Counts the requests of a team whose callers use many entries at once. This entry asks the owners
/// of the team's shares for tokens when requests need them, and holds the requests until the
/// answer. It remembers which shares are empty, so that a team far over its quota doesn't cause a
/// message for each request. See docs/design/quotas.md.
class team_quotas final : public quota_gate
{
public:
    /// `first_number` must differ between the runs of an entry.
    team_quotas(instance_name self, quota_question_number first_number, time_point now);

    quota_answer ask(request_id request, team_settings const& team, time_point now) override;
    void give_back(request_id request, team_settings const& team, time_point now) override;

    /// Takes over the quotas of the configuration in force.
    void update_teams(std::vector<team_settings> const& teams, time_point now);
    /// Takes over the membership's view.
    void update_entries(std::vector<quota_entry> const& entries, time_point now);
    /// Drops tokens and open questions, and begins the ownership of shares anew, because the
    /// process was stopped and others may have taken over. Requests go on waiting.
    void forget(time_point now);
    /// Takes the answer to a batch of questions.
    void handle_grants(quota_question_number number, std::vector<quota_grant> const& grants,
                       time_point now);
    /// Answers the questions of another entry.
    std::vector<quota_grant> answer(std::vector<quota_question> const& questions, time_point now);
    /// Ends waits that took too long. Call it at least every `tick_interval`.
    void tick(time_point now);

    /// The questions that were collected. Call it some milliseconds after `has_questions`.
    std::vector<quota_question_batch> take_questions(time_point now);
    bool has_questions() const { return !collected_.empty(); }
    bool has_verdicts() const { return !verdicts_.empty(); }
    /// The verdicts that are ready. Call it after each call that handles something.
    std::vector<late_quota_verdict> take_verdicts();

    /// True if a team has a quota, so that there is something to do.
    bool is_active() const { return !quotas_.is_empty(); }
    quota_counters const& counters() const { return counters_; }
    quota_owner const& owner() const { return owner_; }
    /// Tokens of all teams that this entry holds for coming requests.
    std::size_t tokens_held() const;
    std::size_t requests_waiting() const { return requests_waiting_; }
    std::size_t teams_in_use() const { return uses_.size(); }

    static constexpr duration tick_interval = std::chrono::milliseconds(20);
    static constexpr std::size_t max_questions_per_batch = 64;

private:
    /// What this entry knows of one share of a team. Small: there are several of them for each
    /// team.
    struct share_use
    {
        time_point held_until;   ///< The tokens may be used until then.
        time_point closed_until; ///< It isn't asked before.
        std::uint64_t generation = 0;
        address owner;
        std::uint32_t held = 0;      ///< Tokens.
        std::uint32_t asked_for = 0; ///< Tokens in the question that isn't answered yet.
        std::uint8_t silences = 0;   ///< Questions in a row that weren't answered.
        quota_distance distance = quota_distance::other_region;
        bool has_owner = false;
        bool is_answered = false;  ///< Its owner has answered at least once.
        bool is_collected = false; ///< The question hasn't been sent yet.
    };
    struct waiting_request
    {
        request_id request;
        time_point since;
    };
    /// What this entry knows of one team that was seen lately.
    struct team_use
    {
        team_hash team;
        std::vector<share_use> shares;
        std::deque<waiting_request> waiting;
        decaying_count requests{demand_memory};
        decaying_count tokens{demand_memory};
        decaying_count refusals{demand_memory};
        time_point last_used;
        std::size_t next_share = 0; ///< Where the search for a share begins.
    };
    struct open_batch
    {
        time_point sent_at;
        std::vector<quota_question> questions;
        bool is_given_up = false; ///< Its shares are asked again; an answer still counts.
    };
    /// A token that was taken for a request, as long as it may be used again.
    struct taken_token
    {
        std::size_t share = 0;
        time_point usable_until;
    };

    void observe(time_point now);
    team_use& use_of(team_hash team, known_quota const& quota, time_point now);
    bool take_held_token(team_use& use, request_id request, time_point now);
    /// Asks for tokens in advance if the held ones will be used up soon.
    void seek_ahead(team_use& use, time_point now);
    static unsigned tokens_asked_for(team_use const& use);
    static unsigned tokens_ahead(team_use const& use, time_point now);
    /// The share to ask next, if any may be asked: one with a question that hasn't been sent yet,
    /// or else the one whose owner answers, of several the nearest.
    std::optional<std::size_t> choose_share(team_use& use, time_point now);
    void refresh_owner(share_use& share, quota_share const& name, time_point now) const;
    void ask_share(team_use& use, std::size_t index, unsigned wanted, time_point now);
    void collect_question(share_use& share, quota_question const& question);
    void apply_grant(team_use& use, quota_grant const& grant, time_point usable_until,
                     time_point now);
    /// Gives held tokens to waiting requests and asks for more; refuses them if there are none.
    void serve_waiting(team_use& use, time_point now);
    void end_wait(team_use& use, quota_answer const& answer);
    static quota_answer make_refusal(team_use& use, time_point now);
    void end_long_waits(time_point now);
    void close_unanswered_batches(time_point now);
    void give_up_batch(open_batch& batch, time_point now);
    void run_housekeeping(time_point now);
    void forget_taken_tokens(time_point now);
    quota_answer counted(quota_answer const& answer);
    team_use* find_use(team_hash team);

    static constexpr duration demand_memory = std::chrono::milliseconds(500);

    quota_census census_;
    team_quota_table quotas_;
    quota_owner owner_{census_, quotas_};
    std::unordered_map<team_hash, team_use> uses_;
    std::map<address, std::vector<quota_question>> collected_;
    std::map<quota_question_number, open_batch> open_batches_;
    std::vector<late_quota_verdict> verdicts_;
    std::unordered_map<request_id, taken_token> taken_;
    std::deque<std::pair<time_point, request_id>> taken_in_order_;
    std::deque<std::pair<time_point, team_hash>> waits_in_order_;
    quota_question_number last_number_;
    time_point observed_at_;
    time_point housekeeping_due_;
    std::size_t requests_waiting_ = 0;
    quota_counters counters_;
};

} // namespace burdockstep
