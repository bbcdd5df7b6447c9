/// Parser of answers' heads, which libcurl delivers line by line.
#pragma once

#include "libraries/net/http_types.hpp"

#include <string_view>

namespace burdockstep {

/// Parses the status line and header lines of an answer.
class answer_head_parser
{
public:
    /// Parses one line. Returns true if it ends the head of a final (not 1xx) answer.
    bool add(std::string_view line);

    http_head const& head() const { return head_; }

private:
    void add_header(std::string_view line);
    void determine_delimited();

    http_head head_;
};

} // namespace burdockstep
