/// HTTP message types shared by the server and the clients.
#pragma once

#include "libraries/http1/message_body.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstep {

/// One header field. Names are lower case.
struct http_header
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were added.
class http_headers
{
public:
    http_headers() = default;
    http_headers(std::initializer_list<http_header> headers) : headers_(headers) {}

    /// Appends a header field. `name` must be lower case.
    void add(std::string name, std::string value);
    /// Returns the value of the first field with that name, or an empty string.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const;

    auto begin() const { return headers_.begin(); }
    auto end() const { return headers_.end(); }
    std::size_t size() const { return headers_.size(); }

private:
    std::vector<http_header> headers_;
};

/// Status code and headers of an answer.
struct http_head
{
    int status = 0;
    http_headers headers;
    std::optional<std::uint64_t> content_length;
    /// True if a complete body can be told from a truncated one: it has a length, is chunked, or
    /// the status allows no body.
    bool delimited = false;
};

/// A complete request as received by the server.
struct http_request
{
    std::string method;
    std::string path;  ///< Path without the query.
    std::string query; ///< After '?', or empty.
    http_headers headers;
    http1::message_body body;

    /// Returns the percent-decoded value of a query parameter, or an empty string if it is absent.
    std::string parameter(std::string_view name) const;
};

/// Decodes %XX, and '+' as a space. An invalid escape is copied unchanged.
std::string percent_decoded(std::string_view text);

} // namespace burdockstep
