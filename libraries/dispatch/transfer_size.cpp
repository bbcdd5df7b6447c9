#include "libraries/dispatch/transfer_size.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

constexpr double weight_of_newest = 0.02;
/// Bodies up to this size cost nothing: the heads, which all requests have, are larger.
constexpr double free_bytes = 500;
constexpr double cost_ms_per_byte = 0.02;
constexpr double max_cost_ms = 250;

} // namespace

void transfer_size::add(std::size_t bytes)
{
    auto const newest = static_cast<double>(bytes);
    // The mean starts at zero, so that a few large bodies at the start don't change placement.
    mean_bytes_ += weight_of_newest * (newest - mean_bytes_);
}

double other_place_transfer_cost_ms(double mean_bytes)
{
    return std::clamp((mean_bytes - free_bytes) * cost_ms_per_byte, 0.0, max_cost_ms);
}

} // namespace burdockstep
