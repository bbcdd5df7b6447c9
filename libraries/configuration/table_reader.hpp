/// Validating reader for TOML tables. Keys that the program never requested are reported as
/// unknown.
#pragma once

#include "libraries/configuration/finding.hpp"
#include "libraries/core/address.hpp"

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstep {

/// Allowed range of an integer setting; both bounds are inclusive.
struct integer_range
{
    std::int64_t lowest;
    std::int64_t highest;
};

/// Allowed range of a floating-point setting; both bounds are inclusive.
struct number_range
{
    double lowest;
    double highest;
};

/// Reads one table and records findings. For a missing or invalid value it reports a finding and
/// returns a valid or empty value in its place.
class table_reader
{
public:
    /// `path` is the table's name in findings. `table` and `findings` must outlive the reader.
    table_reader(std::string file, std::string path, toml::table const& table,
                 std::vector<finding>& findings);

    /// A required name: 1 to 63 characters of a-z, 0-9 and '-'.
    std::string name(std::string_view key);
    /// A required, non-empty string.
    std::string text(std::string_view key);
    /// An optional, non-empty string; `default_value` when the key is absent.
    std::string text_or(std::string_view key, std::string const& default_value);
    /// A required string that is one of `choices`.
    std::string choice(std::string_view key, std::vector<std::string> const& choices);
    /// A required integer within `range`.
    std::int64_t integer(std::string_view key, integer_range range);
    /// An optional integer within `range`; `default_value` when the key is absent.
    std::int64_t integer_or(std::string_view key, integer_range range, std::int64_t default_value);
    /// A required integer or floating-point number within `range`.
    double number(std::string_view key, number_range range);
    /// An optional integer or floating-point number within `range`; `default_value` when the key is
    /// absent.
    double number_or(std::string_view key, number_range range, double default_value);
    /// A required boolean.
    bool boolean(std::string_view key);
    /// A required address in the form IP:PORT.
    address socket_address(std::string_view key);
    /// A list of strings. Empty when the key is absent.
    std::vector<std::string> string_list(std::string_view key);
    /// The elements of an array of tables. Empty when the key is absent.
    std::vector<toml::table const*> table_list(std::string_view key);
    /// A required sub-table. Returns null and reports a finding when it is missing or no table.
    toml::table const* table(std::string_view key);

    /// Adds a finding at the key's line, or at the table's line when the key is absent.
    void report(std::string_view key, std::string seen, std::string remedy);
    /// Reports each key of the table that was never requested, such as a misspelt one.
    void report_unknown_keys();

private:
    toml::node const* required(std::string_view key, std::string_view expected_value);
    toml::node const* optional(std::string_view key);
    std::int64_t checked_integer(std::string_view key, toml::node const& node, integer_range range);
    double checked_number(std::string_view key, toml::node const& node, number_range range);
    std::string checked_text(std::string_view key, toml::node const& node);

    std::string file_;
    std::string path_;
    toml::table const& table_;
    std::vector<finding>& findings_;
    std::set<std::string, std::less<>> requested_keys_;
};

/// Parses TOML text. On a syntax error adds a finding and returns an empty optional.
std::optional<toml::table> parse_toml(std::string const& file, std::string_view text,
                                      std::vector<finding>& findings);

} // namespace burdockstep
