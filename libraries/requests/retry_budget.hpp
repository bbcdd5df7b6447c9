/// Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
#pragma once

#include <algorithm>

namespace burdockstep {

/// Token bucket: each request earns a fraction of a retry, and each retry spends a whole one.
class retry_budget
{
public:
    /// `retries_earned_per_request` is the long-term ratio of retries to requests; `max_saved`
    /// limits the size of a burst of retries.
    retry_budget(double retries_earned_per_request, double max_saved)
        : retries_earned_per_request_(retries_earned_per_request), max_saved_(max_saved),
          saved_(max_saved)
    {}

    /// Earns the request's fraction of a retry.
    void record_request() { saved_ = std::min(max_saved_, saved_ + retries_earned_per_request_); }

    /// Spends one retry, or returns false when less than one is left.
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
