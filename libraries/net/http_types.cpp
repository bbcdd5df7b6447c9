#include "libraries/net/http_types.hpp"

#include <algorithm>
#include <charconv>

namespace burdockstep {

void http_headers::add(std::string name, std::string value)
{
    headers_.push_back({.name = std::move(name), .value = std::move(value)});
}

std::string_view http_headers::find(std::string_view name) const
{
    auto const found = std::find_if(headers_.begin(), headers_.end(),
                                    [&](http_header const& each) { return each.name == name; });
    return found == headers_.end() ? std::string_view{} : std::string_view(found->value);
}

bool http_headers::contains(std::string_view name) const
{
    return std::any_of(headers_.begin(), headers_.end(),
                       [&](http_header const& each) { return each.name == name; });
}

std::string percent_decoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        bool const is_escape = text[i] == '%' && text.size() - i > 2;
        if (is_escape) {
            char const* const digits = text.data() + i + 1;
            auto const [parse_end, parse_error] = std::from_chars(digits, digits + 2, byte, 16);
            if (parse_error == std::errc{} && parse_end == digits + 2) {
                decoded.push_back(static_cast<char>(byte));
                i += 2;
                continue;
            }
        }
        decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return decoded;
}

std::string http_request::parameter(std::string_view name) const
{
    std::string_view remaining_query = query;
    while (!remaining_query.empty()) {
        auto const end = std::min(remaining_query.find('&'), remaining_query.size());
        std::string_view const pair = remaining_query.substr(0, end);
        remaining_query.remove_prefix(std::min(end + 1, remaining_query.size()));
        auto const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percent_decoded(pair.substr(equals + 1));
    }
    return {};
}

} // namespace burdockstep
