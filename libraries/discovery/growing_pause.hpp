/// Pauses between tries that grow while the tries fail.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"

namespace burdockstep {

/// Shortest and longest mean pause.
struct growing_pause_options
{
    duration first = std::chrono::milliseconds(250);
    duration longest = std::chrono::milliseconds(1'600);
};

/// Returns pauses whose mean doubles each time up to a limit, spread from half to one and a half of
/// the mean, so that entries whose tries failed together don't try again together.
class growing_pause
{
public:
    explicit growing_pause(growing_pause_options options) : options_(options), mean_(options.first)
    {}

    duration next(random_source& random);
    /// Starts again with the shortest pause.
    void reset() { mean_ = options_.first; }

private:
    growing_pause_options options_;
    duration mean_;
};

} // namespace burdockstep
