/// Fields of JSON objects with a fallback where they are missing or of another type.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockstep {

/// The text of a field; empty when there is none.
std::string json_text(boost::json::object const& object, std::string_view key);
/// The whole number of a field; 0 when there is none.
std::uint64_t json_number(boost::json::object const& object, std::string_view key);
/// The truth of a field; false when there is none.
bool json_bool(boost::json::object const& object, std::string_view key);

} // namespace burdockstep
