#include "libraries/steering/shift_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace burdockstep {

namespace {

constexpr double hundred_percent = 100.0;
/// Tolerates the rounding of products such as 0.2 x 5.
constexpr double rounding_tolerance = 1e-9;

} // namespace

shift_limiter::shift_limiter(shift_limits limits, time_point now)
    : limits_(limits), step_start_(now)
{}

std::uint64_t shift_limiter::min_step_arrivals() const
{
    // With fewer arrivals, the cap is less than one whole request, so no request could be shifted.
    return static_cast<std::uint64_t>(std::ceil(hundred_percent / limits_.cap.get()));
}

void shift_limiter::note_arrival(time_point now)
{
    if (now - step_start_ >= limits_.interval && step_arrivals_ >= min_step_arrivals())
        finish_step(now);
    ++step_arrivals_;
}

void shift_limiter::finish_step(time_point now)
{
    auto const shifted =
        static_cast<double>(shifted_requests_ + shifted_by_other_entries_ + refused_requests_);
    last_shifted_fraction_ = std::min(1.0, shifted / static_cast<double>(step_arrivals_));
    last_step_arrivals_ = step_arrivals_;
    step_start_ = now;
    step_arrivals_ = 0;
    shifted_requests_ = 0;
    shifted_by_other_entries_ = 0;
    refused_requests_ = 0;
}

double shift_limiter::shifted_fraction_limit() const
{
    return std::min(1.0, last_shifted_fraction_ + limits_.cap.get() / hundred_percent);
}

bool shift_limiter::try_shift()
{
    // The previous step's arrivals predict those of this step. If more arrive, more may be shifted.
    auto const expected_arrivals =
        static_cast<double>(std::max(step_arrivals_, last_step_arrivals_));
    auto const shifted = static_cast<double>(shifted_requests_ + 1);
    bool const unlimited = shifted_fraction_limit() >= 1.0;
    if (!unlimited && shifted > shifted_fraction_limit() * expected_arrivals + rounding_tolerance)
        return false;
    ++shifted_requests_;
    return true;
}

} // namespace burdockstep
