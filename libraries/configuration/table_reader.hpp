/// Checked reading of TOML tables: each key is asked for once, what was not asked for is unknown.
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

/// Limits of an integer setting, both inclusive.
struct integer_range
{
    std::int64_t lowest;
    std::int64_t highest;
};

/// Limits of a number setting, both inclusive.
struct number_range
{
    double lowest;
    double highest;
};

/// Reads one table and notes findings. `report_unknown_keys` reports the keys that nobody asked
/// for.
class table_reader
{
public:
    /// `path` is the table's name in messages. Table and findings outlive the reader.
    table_reader(std::string file, std::string path, toml::table const& table,
                 std::vector<finding>& findings);

    /// A required name: 1 to 63 of a-z, 0-9 and '-'.
    std::string name(std::string_view key);
    /// A required text that isn't empty.
    std::string text(std::string_view key);
    /// A text, or the default.
    std::string text_or(std::string_view key, std::string const& default_value);
    /// One of `choices`.
    std::string choice(std::string_view key, std::vector<std::string> const& choices);
    /// A required integer within limits.
    std::int64_t integer(std::string_view key, integer_range range);
    /// An integer within limits, or the default.
    std::int64_t integer_or(std::string_view key, integer_range range, std::int64_t default_value);
    /// A required number within limits.
    double number(std::string_view key, number_range range);
    /// A number within limits, or the default.
    double number_or(std::string_view key, number_range range, double default_value);
    /// A required boolean.
    bool boolean(std::string_view key);
    /// A required IP:PORT.
    address socket_address(std::string_view key);
    /// A list of texts. Empty when absent.
    std::vector<std::string> string_list(std::string_view key);
    /// The tables of an array of tables. Empty when absent.
    std::vector<toml::table const*> table_list(std::string_view key);
    /// A required sub-table, or nothing with a finding.
    toml::table const* table(std::string_view key);

    /// Notes a finding at a key's line.
    void report(std::string_view key, std::string seen, std::string remedy);
    /// Notes a finding for each key that was not asked for.
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

/// Parses TOML text. On a syntax error returns nothing and notes a finding.
std::optional<toml::table> parse_toml(std::string const& file, std::string_view text,
                                      std::vector<finding>& findings);

} // namespace burdockstep
