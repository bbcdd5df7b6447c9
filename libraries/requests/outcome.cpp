#include "libraries/requests/outcome.hpp"

namespace burdockstep {

char const* name_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_room:
        return "no-room";
    case refusal_reason::deadline_passed:
        return "deadline-passed";
    case refusal_reason::no_upstream:
        return "no-upstream";
    case refusal_reason::shed:
        return "shed";
    case refusal_reason::not_connected:
        return "not-connected";
    case refusal_reason::caller_gone:
        return "caller-gone";
    case refusal_reason::bad_ticket:
        return "bad-ticket";
    case refusal_reason::no_configuration:
        return "no-configuration";
    case refusal_reason::upstream_lost:
        return "upstream-lost";
    case refusal_reason::entry_lost:
        return "entry-lost";
    case refusal_reason::epoch_discarded:
        return "forgotten";
    }
    return "unknown";
}

} // namespace burdockstep
