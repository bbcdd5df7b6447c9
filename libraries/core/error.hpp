/// Failures: a typed kind and a message that names the remedy.
#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace burdockstep {

namespace leaf = boost::leaf;

/// Kinds of failure that callers of a function tell apart.
enum class error_kind
{
    invalid_input,   ///< The input breaks a rule; the message names it and the remedy.
    conflict,        ///< Another writer was first; read again and retry.
    not_found,       ///< No such thing.
    unreachable,     ///< The other side could not be reached: nothing was done.
    outcome_unknown, ///< The answer was lost: it may or may not have been done.
    limit,           ///< A named limit is reached.
    malformed,       ///< Bytes that don't decode.
    internal         ///< A fault of the program.
};

/// What a failed function reports.
struct failure
{
    error_kind kind;
    /// One sentence on what is wrong, then the remedy.
    std::string message;
};

template <class T>
using result = leaf::result<T>;

/// Makes the error result of a function that returns `result<T>`.
inline leaf::error_id fail(error_kind kind, std::string message)
{
    return leaf::new_error(failure{.kind = kind, .message = std::move(message)});
}

/// Runs `attempt`, which returns a `result<T>`; on failure returns what `handler` makes of it.
template <class Attempt, class Handler>
auto handle_failure(Attempt&& attempt, Handler&& handler)
{
    return leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](failure const& error) { return handler(error); },
        [&] {
            return handler(failure{.kind = error_kind::internal,
                                   .message = "unexpected error; report it with the log"});
        });
}

} // namespace burdockstep
