#include "libraries/teams/key_trust.hpp"

#include <algorithm>

namespace burdockstep {

void key_trust::confirm(time_point fresh_as_of)
{
    fresh_as_of_ = std::max(fresh_as_of_.value_or(fresh_as_of), fresh_as_of);
}

bool key_trust::may_act_on_keys(time_point now) const
{
    return options_.revocation_limit == duration::zero() ||
           is_confirmed_within(options_.revocation_limit, now);
}

bool key_trust::may_deny(time_point now) const
{
    return is_confirmed_within(options_.denial_limit, now);
}

bool key_trust::is_confirmed_within(duration limit, time_point now) const
{
    return fresh_as_of_ && now - *fresh_as_of_ < limit;
}

} // namespace burdockstep
