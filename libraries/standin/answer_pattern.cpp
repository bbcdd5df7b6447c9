#include "libraries/standin/answer_pattern.hpp"

#include "libraries/core/digest.hpp"

namespace burdockstep {

namespace {

constexpr std::uint64_t block_bytes = 16;

std::string block_at(std::string_view body_id, std::uint64_t index)
{
    return fmt::format("{:016x}", hash_of(body_id, index));
}

} // namespace

std::string pattern_bytes(std::string_view body_id, std::uint64_t offset, std::size_t size)
{
    std::string bytes;
    bytes.reserve(size + 2 * block_bytes);
    std::uint64_t const first = offset / block_bytes;
    std::uint64_t const skip = offset % block_bytes;
    for (std::uint64_t index = first; bytes.size() < skip + size; ++index)
        bytes += block_at(body_id, index);
    return bytes.substr(skip, size);
}

void pattern_checker::append(std::string_view bytes)
{
    if (matches_ && pattern_bytes(body_id_, size_, bytes.size()) != bytes)
        matches_ = false;
    size_ += bytes.size();
}

} // namespace burdockstep
