/// Bodies that can be checked byte by byte: each is made from its request's id alone.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockstep {

/// Header that carries a request's id through the system to the stand-in, lower case.
inline constexpr char request_id_header[] = "x-request-id";

/// The bytes [offset, offset + size) of the body that belongs to a request.
std::string pattern_bytes(std::string_view body_id, std::uint64_t offset, std::size_t size);

/// Checks a body as it arrives.
class pattern_checker
{
public:
    explicit pattern_checker(std::string body_id) : body_id_(std::move(body_id)) {}

    void append(std::string_view bytes);
    bool matches() const { return matches_; }
    std::uint64_t size() const { return size_; }

private:
    std::string body_id_;
    std::uint64_t size_ = 0;
    bool matches_ = true;
};

} // namespace burdockstep
