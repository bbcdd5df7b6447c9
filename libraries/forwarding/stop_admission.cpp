#include "libraries/forwarding/stop_admission.hpp"

namespace burdockstep {

bool stop_admission::may_take(time_point latest_end) const
{
    return !refuses_new_requests_ && may_send(latest_end);
}

bool stop_admission::may_send(time_point latest_end) const
{
    return !process_end_ || latest_end + options_.answer_margin <= *process_end_;
}

} // namespace burdockstep
