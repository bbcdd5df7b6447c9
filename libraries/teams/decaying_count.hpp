/// A count in which older events weigh less.
#pragma once

#include "libraries/core/clock.hpp"

#include <cmath>

namespace burdockstep {

/// Counts events whose weights decay exponentially, with the time constant `memory`.
class decaying_count
{
public:
    explicit decaying_count(duration memory) : memory_s_(seconds(memory)) {}

    void add(double events, time_point now)
    {
        value_ = value_at(now) + events;
        changed_at_ = now;
    }
    /// Mean rate of events per second, over about the last `memory`.
    double per_second(time_point now) const { return value_at(now) / memory_s_; }
    /// Sum of the events' weights.
    double value_at(time_point now) const
    {
        return value_ * std::exp(-seconds(now - changed_at_) / memory_s_);
    }

private:
    static double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

    double memory_s_;
    double value_ = 0;
    time_point changed_at_;
};

} // namespace burdockstep
