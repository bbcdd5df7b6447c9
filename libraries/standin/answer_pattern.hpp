/// Generated answer bodies that the receiver can verify byte by byte: the content of a body depends
/// only on the id of its request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockstep {

/// Header that carries a request's id from the caller to the stand-in, in lower case.
inline constexpr char request_id_header[] = "x-request-id";

/// Generates the bytes [offset, offset + size) of the body for a request. `body_id` is the
/// request's id.
std::string pattern_bytes(std::string_view body_id, std::uint64_t offset, std::size_t size);

/// Verifies a body as its bytes arrive.
class pattern_checker
{
public:
    explicit pattern_checker(std::string body_id) : body_id_(std::move(body_id)) {}

    /// Compares the next received bytes with the expected ones.
    void append(std::string_view bytes);
    /// True when all bytes so far were as expected.
    bool matches() const { return matches_; }
    /// Number of bytes received so far.
    std::uint64_t size() const { return size_; }

private:
    std::string body_id_;
    std::uint64_t size_ = 0;
    bool matches_ = true;
};

} // namespace burdockstep
