/// How many bytes a service's requests and answers have, and what they cost between places.
#pragma once

#include <cstddef>

namespace burdockstep {

/// Mean size of the bodies that one request of a service moves, over about the last hundred.
class transfer_size
{
public:
    /// Adds one answered request: the bytes of its body and of its answer's.
    void add(std::size_t bytes);
    double mean_bytes() const { return mean_bytes_; }

private:
    double mean_bytes_ = 0;
};

/// Returns the added cost, in milliseconds, of an upstream in another place of the region. Small
/// bodies add nothing: then it matters more that each object is computed in one place only. The
/// cost is bounded, so that one service's largest bodies don't tie it to its place for good.
double other_place_transfer_cost_ms(double mean_bytes);

} // namespace burdockstep
