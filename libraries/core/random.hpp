/// Seeded random numbers. Decision classes are passed a generator, so that runs can be repeated;
/// only `main` seeds one from the operating system.
#pragma once

#include <cstdint>
#include <random>

namespace burdockstep {

/// Random number generator, shared by reference.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// The interface of a standard uniform random bit generator.
    static constexpr result_type min() { return std::mt19937_64::min(); }
    static constexpr result_type max() { return std::mt19937_64::max(); }
    result_type operator()() { return engine_(); }

    /// A uniformly distributed 64-bit number.
    std::uint64_t next() { return engine_(); }
    /// A uniformly distributed integer in [0, bound). `bound` must be at least 1.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }
    /// A uniformly distributed number in [0, 1).
    double uniform_fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
    /// An exponentially distributed number with the given mean.
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1.0 / mean)(engine_);
    }

private:
    std::mt19937_64 engine_;
};

/// Reads a seed from the operating system's entropy source.
inline std::uint64_t system_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace burdockstep
