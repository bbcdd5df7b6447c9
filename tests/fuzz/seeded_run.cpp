// Runs a fuzzing target on mutated sample inputs. The same seed makes the same inputs, so that a
// failure can be repeated.
#include "tests/fuzz/fuzz_target.hpp"

#include "libraries/core/random.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using burdockstep::random_source;

constexpr std::uint64_t max_mutations_per_input = 8;
constexpr std::size_t max_input_bytes = std::size_t{256} * 1024;

std::size_t random_position(random_source& random, std::string const& text)
{
    return text.empty() ? 0 : static_cast<std::size_t>(random.below(text.size()));
}

/// A piece that parsers are known to trip over.
std::string tricky_piece(random_source& random)
{
    static std::string const pieces[] = {std::string(1, '\0'),
                                         "\xff\xfe",
                                         "-1",
                                         "18446744073709551616",
                                         "1e400",
                                         "\r\n\r\n",
                                         "\"",
                                         "{\"a\":",
                                         "[[[[",
                                         "ffffffffffffffff\r\n",
                                         ": ",
                                         "%00"};
    return pieces[random.below(std::size(pieces))];
}

void mutate(std::string& text, random_source& random)
{
    std::size_t const at = random_position(random, text);
    switch (random.below(7)) {
    case 0:
        if (!text.empty())
            text[at] = static_cast<char>(random.below(256));
        break;
    case 1:
        text.insert(at, 1, static_cast<char>(random.below(256)));
        break;
    case 2:
        text.erase(at, random.below(9));
        break;
    case 3:
        text.resize(at);
        break;
    case 4:
        text.insert(at, tricky_piece(random));
        break;
    case 5:
        if (text.size() < max_input_bytes)
            text.insert(at, text.substr(at, random.below(64)));
        break;
    default:
        if (text.size() < max_input_bytes)
            for (std::string const piece = tricky_piece(random);
                 text.size() < max_input_bytes && random.below(200) != 0;)
                text.insert(std::min(at, text.size()), piece);
        break;
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " FIRST_SEED INPUTS\n";
        return EXIT_FAILURE;
    }
    std::uint64_t const first_seed = std::strtoull(argv[1], nullptr, 10);
    std::uint64_t const inputs = std::strtoull(argv[2], nullptr, 10);
    auto const samples = burdockstep::fuzz::sample_inputs();
    for (std::uint64_t seed = first_seed; seed < first_seed + inputs; ++seed) {
        random_source random(seed);
        std::string input = samples[random.below(samples.size())];
        for (std::uint64_t left = random.below(max_mutations_per_input + 1); left > 0; --left)
            mutate(input, random);
        // The seed of an input that ends the process is the last one written.
        if (argv[0] != nullptr && std::getenv("BURDOCKSTEP_FUZZ_TRACE") != nullptr)
            std::cerr << seed << "\n";
        LLVMFuzzerTestOneInput(reinterpret_cast<std::uint8_t const*>(input.data()), input.size());
    }
    std::cout << inputs << " inputs, seeds from " << first_seed << ": passed\n";
    return EXIT_SUCCESS;
}
