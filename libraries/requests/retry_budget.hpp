/// Bounds retries to a part of the requests, so that they can't amplify an overload.
#pragma once

#include <algorithm>

namespace burdockstep {

/// Each request earns a part of a retry; each retry spends a whole one.
class retry_budget
{
public:
    /// `retries_earned_per_request` is the long-run ratio; `max_saved` is the largest burst.
    retry_budget(double retries_earned_per_request, double max_saved)
        : retries_earned_per_request_(retries_earned_per_request), max_saved_(max_saved),
          saved_(max_saved)
    {}

    void record_request() { saved_ = std::min(max_saved_, saved_ + retries_earned_per_request_); }

    /// Spends one retry, or returns false when none is left.
    bool try_spend()
    {
        if (saved_ < 1.0)
            return false;
        saved_ -= 1.0;
        return true;
    }

private:
    double retries_earned_per_request_;
    double max_saved_;
    double saved_;
};

} // namespace burdockstep
