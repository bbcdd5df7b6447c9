/// Histogram of latencies with logarithmic bins.
#pragma once

#include "libraries/core/clock.hpp"

#include <boost/histogram.hpp>

#include <cstdint>

namespace burdockstep {

/// Counts latencies from 10 microseconds to 1,000 seconds in bins about 2 % wide. Latencies outside
/// this range are counted in the first or last bin.
class latency_histogram
{
public:
    latency_histogram();

    /// Counts one latency.
    void add(duration latency);
    /// Adds all counts of another histogram.
    void add(latency_histogram const& other);
    /// Number of counted latencies.
    std::uint64_t count() const { return count_; }
    /// The latency that `fraction` (0 to 1) of the counted latencies don't exceed, to the precision
    /// of a bin; zero when nothing has been counted.
    duration percentile(double fraction) const;
    /// The longest counted latency, exactly.
    duration longest() const { return longest_; }

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<axis>> bins_;
    std::uint64_t count_ = 0;
    duration longest_{};
};

} // namespace burdockstep
