/// Interface to the quotas of teams, as the forwarding engine uses them.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/teams/team_settings.hpp"

namespace burdockstep {

/// Whether a request is within its team's quota.
enum class quota_verdict
{
    admitted,   ///< It holds a token.
    pending,    ///< A token has been asked for; the verdict follows.
    over_quota, ///< The team has used its quota.
    undecided   ///< The entries that count the team's requests don't answer.
};

constexpr std::size_t quota_verdict_count = static_cast<std::size_t>(quota_verdict::undecided) + 1;

/// The verdict on one request.
struct quota_answer
{
    quota_verdict verdict = quota_verdict::admitted;
    duration retry_after{}; ///< If refused: when the team will have a token, or an answer.
};

/// Counts the requests of teams against their quotas, which hold over all entries together.
class quota_gate
{
public:
    virtual ~quota_gate() = default;

    /// Asks for a token. After `pending`, the verdict is passed to the engine later.
    virtual quota_answer ask(request_id request, team_settings const& team, time_point now) = 0;
    /// Takes back the token of a request that no upstream has run, or the question for it.
    virtual void give_back(request_id request, team_settings const& team, time_point now) = 0;
};

} // namespace burdockstep
