#include "libraries/http1/accept_pace.hpp"

#include <algorithm>

namespace burdockstep::http1 {

duration accept_pace::wait_before_next(time_point now) const
{
    if (accepted_at_.empty() || accepted_at_.size() < places_)
        return duration::zero();
    return std::max(accepted_at_.front() + min_stay_ - now, duration::zero());
}

void accept_pace::note_accepted(time_point now)
{
    accepted_at_.push_back(now);
    if (accepted_at_.size() > places_)
        accepted_at_.pop_front();
}

} // namespace burdockstep::http1
