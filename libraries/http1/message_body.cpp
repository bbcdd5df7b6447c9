#include "libraries/http1/message_body.hpp"

#include <algorithm>

namespace burdockstep::http1 {

namespace {

/// From this size on, a body of unknown length grows in large steps, because each step copies it.
constexpr std::size_t min_large_body_bytes = std::size_t{1024} * 1024;
constexpr std::size_t large_body_growth_factor = 4;

} // namespace

void append_to_body(std::string& body, std::string_view bytes, std::optional<std::uint64_t> length,
                    std::size_t max_bytes)
{
    if (body.empty() && length)
        body.reserve(std::min<std::uint64_t>(*length, max_bytes));
    else if (body.capacity() - body.size() < bytes.size() && body.size() >= min_large_body_bytes)
        body.reserve(std::min(large_body_growth_factor * body.capacity(), max_bytes));
    body.append(bytes);
}

} // namespace burdockstep::http1
