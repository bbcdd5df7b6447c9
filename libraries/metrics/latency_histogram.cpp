#include "libraries/metrics/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace burdockstep {

namespace {

constexpr unsigned bin_count = 900;
constexpr double min_latency_us = 10.0;
constexpr double max_latency_us = 1e9;

} // namespace

latency_histogram::latency_histogram()
    : bins_(boost::histogram::make_histogram(axis(bin_count, min_latency_us, max_latency_us)))
{}

void latency_histogram::add(duration latency)
{
    double const microseconds = static_cast<double>(latency.count());
    bins_(std::clamp(microseconds, min_latency_us, max_latency_us - 1));
    ++count_;
    longest_ = std::max(longest_, latency);
}

void latency_histogram::add(latency_histogram const& other)
{
    bins_ += other.bins_;
    count_ += other.count_;
    longest_ = std::max(longest_, other.longest_);
}

duration latency_histogram::percentile(double fraction) const
{
    if (count_ == 0)
        return duration::zero();
    auto const target_count = std::ceil(fraction * static_cast<double>(count_));
    double cumulative_count = 0;
    for (unsigned i = 0; i < bin_count; ++i) {
        cumulative_count += bins_.at(static_cast<int>(i));
        if (cumulative_count >= target_count) {
            auto const upper =
                static_cast<std::int64_t>(bins_.axis().bin(static_cast<int>(i)).upper());
            return std::min(duration(upper), longest_);
        }
    }
    return longest_;
}

} // namespace burdockstep
