#include "libraries/net/answer_head_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace burdockstep {

namespace {

constexpr int first_final_status = 200;

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

} // namespace

bool answer_head_parser::add(std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        head_ = {};
        auto const space = line.find(' ');
        if (space != std::string_view::npos)
            std::from_chars(line.data() + space + 1, line.data() + line.size(), head_.status);
        return false;
    }
    std::string_view const content = trimmed(line);
    if (content.empty()) {
        determine_delimited();
        return head_.status >= first_final_status;
    }
    add_header(content);
    return false;
}

void answer_head_parser::add_header(std::string_view line)
{
    auto const colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    std::string_view const value = trimmed(line.substr(colon + 1));
    if (name == "content-length") {
        std::uint64_t length = 0;
        std::from_chars(value.data(), value.data() + value.size(), length);
        head_.content_length = length;
    }
    if (name == "transfer-encoding" && value == "chunked")
        head_.delimited = true;
    head_.headers.add(std::move(name), std::string(value));
}

void answer_head_parser::determine_delimited()
{
    bool const status_has_no_body = head_.status == 204 || head_.status == 304;
    head_.delimited = head_.delimited || head_.content_length.has_value() || status_has_no_body;
}

} // namespace burdockstep
