#include "libraries/platform/json_fields.hpp"

namespace burdockstep {

namespace json = boost::json;

std::string json_text(json::object const& object, std::string_view key)
{
    json::value const* const value = object.if_contains(key);
    bool const is_text = value != nullptr && value->is_string();
    return is_text ? std::string(value->get_string()) : std::string{};
}

std::uint64_t json_number(json::object const& object, std::string_view key)
{
    json::value const* const value = object.if_contains(key);
    if (value == nullptr || !value->is_number())
        return 0;
    json::error_code code;
    auto const number = value->to_number<std::uint64_t>(code);
    return code ? 0 : number;
}

bool json_bool(json::object const& object, std::string_view key)
{
    json::value const* const value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace burdockstep
