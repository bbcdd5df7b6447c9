#include "libraries/discovery/upstream_history.hpp"

#include <algorithm>
#include <tuple>

namespace burdockstep {

namespace {

bool is_newer_without_start(registration_write const& received, registration_write const& known)
{
    if (received.position.era != known.position.era)
        return received.heartbeat > known.heartbeat;
    return received.position.version >= known.position.version;
}

} // namespace

bool is_newer_write(registration_write const& received, registration_write const& known)
{
    auto const content = [](registration_write const& each) {
        return std::tuple(each.start_revision, each.started_ms, each.heartbeat);
    };
    bool const have_starts = received.started_ms != 0 && known.started_ms != 0;
    if (!have_starts && received.start_revision == known.start_revision)
        return is_newer_without_start(received, known);
    if (content(received) != content(known))
        return content(received) > content(known);
    if (received.position.era != known.position.era)
        return received.position.era < known.position.era;
    return received.position.version > known.position.version;
}

bool upstream_history::merge_write(registration_write const& received)
{
    if (newest_write_ && !is_newer_write(received, *newest_write_))
        return false;
    newest_write_ = received;
    return true;
}

void upstream_history::merge_removal(store_position at)
{
    removed_at_ = removed_at_ ? std::max(*removed_at_, at) : at;
}

bool upstream_history::is_registered() const
{
    return newest_write_ && (!removed_at_ || newest_write_->position > *removed_at_);
}

} // namespace burdockstep
