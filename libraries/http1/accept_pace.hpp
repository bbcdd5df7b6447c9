/// How fast connections that take the place of others may be accepted.
#pragma once

#include "libraries/core/clock.hpp"

#include <cstddef>
#include <deque>

namespace burdockstep::http1 {

/// Lets each accepted connection stay for a time before so many others have been accepted that one
/// of them takes its place. Whoever sends a request within that time has it read, however many
/// others connect again and again; those wait in the operating system's queue, in their order.
class accept_pace
{
public:
    /// At most `places` connections are accepted in any period of `min_stay`.
    accept_pace(std::size_t places, duration min_stay) : places_(places), min_stay_(min_stay) {}

    /// Returns the time until the next connection may be accepted; zero if it may be now.
    duration wait_before_next(time_point now) const;
    void note_accepted(time_point now);

private:
    std::size_t places_;
    duration min_stay_;
    std::deque<time_point> accepted_at_; ///< Of the last `places_` connections, oldest first.
};

} // namespace burdockstep::http1
