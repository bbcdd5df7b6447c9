/// Includes CppUTest without its `operator new` macros, which break standard headers, and defines
/// time helpers for tests.
#pragma once

#define CPPUTEST_USE_MEM_LEAK_DETECTION 0
#include <CppUTest/TestHarness.h>

#include <chrono>

#include "libraries/core/clock.hpp"

namespace burdockstep::testing {

/// An arbitrary point in time at which tests start their clocks; not the clock's epoch.
inline time_point start_time()
{
    return time_point(std::chrono::seconds(1'000));
}

inline duration ms(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace burdockstep::testing
