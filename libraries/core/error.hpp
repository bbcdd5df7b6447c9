/// Error reporting: a typed kind, and a message that names the remedy.
#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace burdockstep {

namespace leaf = boost::leaf;

/// Kinds of failure that the code calling a function can distinguish.
enum class error_kind
{
    invalid_input,   ///< The input breaks a rule; the message names it and the remedy.
    conflict,        ///< A concurrent write came first; read again and retry.
    not_found,       ///< The requested item does not exist.
    unreachable,     ///< The remote side could not be reached, so nothing was done.
    outcome_unknown, ///< The answer was lost: the operation may or may not have been done.
    limit,           ///< A limit has been reached; the message names it.
    malformed,       ///< The received bytes can't be decoded.
    internal         ///< A bug in the program.
};

/// Error value of a failed function.
struct failure
{
    error_kind kind;
    /// States what is wrong, then the remedy.
    std::string message;
};

template <class T>
using result = leaf::result<T>;

/// Creates the error that a function returning `result<T>` returns.
inline leaf::error_id fail(error_kind kind, std::string message)
{
    return leaf::new_error(failure{.kind = kind, .message = std::move(message)});
}

/// Calls `attempt`, which returns a `result<T>`. Returns its value, or on failure the value that
/// `handler` returns for the `failure`.
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
