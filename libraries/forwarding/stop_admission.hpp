/// Decides which requests an entry still takes during its planned stop.
#pragma once

#include "libraries/core/clock.hpp"

#include <optional>

namespace burdockstep {

struct stop_admission_options
{
    /// A request must end at least this long before the process does, so that its answer reaches
    /// the caller.
    duration answer_margin = std::chrono::milliseconds(200);
};

/// During a planned stop, only requests that certainly end before the process does are taken and
/// sent. A refused caller returns at another entry at once, but a request that is cut may have run.
class stop_admission
{
public:
    explicit stop_admission(stop_admission_options const& options) : options_(options) {}

    /// Begins the stop of a process that ends at `process_end`.
    void begin(time_point process_end) { process_end_ = process_end; }
    /// From now on no new request is taken, whenever it would end.
    void refuse_new_requests() { refuses_new_requests_ = true; }
    /// True if a new request that ends by `latest_end` may be taken.
    bool may_take(time_point latest_end) const;
    /// True if a request that was taken and ends by `latest_end` may be sent to an upstream.
    bool may_send(time_point latest_end) const;

private:
    stop_admission_options options_;
    std::optional<time_point> process_end_; ///< Empty while no stop has begun.
    bool refuses_new_requests_ = false;
};

} // namespace burdockstep
