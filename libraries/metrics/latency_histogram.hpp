/// Latencies on a logarithmic scale, with percentiles.
#pragma once

#include "libraries/core/clock.hpp"

#include <boost/histogram.hpp>

#include <cstdint>

namespace burdockstep {

/// Counts durations from 10 microseconds to 1,000 seconds in bins about 2 % wide.
class latency_histogram
{
public:
    latency_histogram();

    void add(duration latency);
    void add(latency_histogram const& other);
    std::uint64_t count() const { return count_; }
    /// The latency below which `fraction` (0 to 1) of the counted ones lie; zero when empty.
    duration percentile(double fraction) const;
    duration longest() const { return longest_; }

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<axis>> bins_;
    std::uint64_t count_ = 0;
    duration longest_{};
};

} // namespace burdockstep
