/// JSON encoding of the platform's HTTP interface, used by the daemon's client and by the
/// stand-in's server.
#pragma once

#include "libraries/core/error.hpp"
#include "libraries/platform/platform.hpp"

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace burdockstep {

/// Parses JSON text. Fails with `malformed` when it isn't valid JSON.
result<boost::json::value> parse_json(std::string_view text);

boost::json::value to_json(table_row const& row);
boost::json::value to_json(table_transaction const& transaction);
boost::json::value to_json(instance_list_snapshot const& list);

/// Decoders. They fail with `malformed` when the JSON has another structure, and with
/// `invalid_input` when an address can't be parsed. A missing string, number or flag reads as
/// empty, 0 or false.
result<table_row> row_from_json(boost::json::value const& json);
result<std::vector<table_row>> rows_from_json(boost::json::value const& json);
result<table_transaction> transaction_from_json(boost::json::value const& json);
result<instance_list_snapshot> instance_list_from_json(boost::json::value const& json);
result<listed_member> listed_member_from_json(boost::json::value const& json);

} // namespace burdockstep
