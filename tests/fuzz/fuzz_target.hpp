/// Interface of a fuzzing target, used by libFuzzer and by the seeded run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Runs the code under test on one input, named as libFuzzer expects it. Returns 0.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes, std::size_t size);

namespace burdockstep::fuzz {

/// Valid inputs of the target, from which the seeded run makes mutated ones.
std::vector<std::string> sample_inputs();

} // namespace burdockstep::fuzz
