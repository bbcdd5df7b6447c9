/// Seeded random numbers. Decision classes get a generator; only `main` seeds one from the machine.
#pragma once

#include <cstdint>
#include <random>

namespace burdockstep {

/// Generator that all parts share by reference.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// As the standard library's algorithms use a generator.
    static constexpr result_type min() { return std::mt19937_64::min(); }
    static constexpr result_type max() { return std::mt19937_64::max(); }
    result_type operator()() { return engine_(); }

    /// A uniform 64-bit number.
    std::uint64_t next() { return engine_(); }
    /// A uniform number in [0, bound). `bound` is at least 1.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }
    /// A uniform number in [0, 1).
    double uniform_fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
    /// An exponential number with the given mean.
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1.0 / mean)(engine_);
    }

private:
    std::mt19937_64 engine_;
};

/// A seed from the operating system.
inline std::uint64_t system_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace burdockstep
