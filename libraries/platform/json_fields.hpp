/// Reads fields of JSON objects, with a default when a field is missing or of another type.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockstep {

/// The string in a field; empty by default.
std::string json_text(boost::json::object const& object, std::string_view key);
/// The unsigned integer in a field; 0 by default.
std::uint64_t json_number(boost::json::object const& object, std::string_view key);
/// The boolean in a field; false by default.
bool json_bool(boost::json::object const& object, std::string_view key);

} // namespace burdockstep
