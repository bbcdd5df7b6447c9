#include "libraries/configuration/table_reader.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace burdockstep {

namespace {

constexpr std::size_t max_name_length = 63;

std::string display_text(toml::node const& node)
{
    std::ostringstream out;
    node.visit([&](auto const& value) { out << value; });
    std::string text = out.str();
    std::replace(text.begin(), text.end(), '\n', ' ');
    constexpr std::size_t max_display_length = 80;
    if (text.size() > max_display_length)
        text = text.substr(0, max_display_length) + "...";
    return text;
}

bool is_valid_name(std::string_view text)
{
    auto const allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

} // namespace

table_reader::table_reader(std::string file, std::string path, toml::table const& table,
                           std::vector<finding>& findings)
    : file_(std::move(file)), path_(std::move(path)), table_(table), findings_(findings)
{}

toml::node const* table_reader::optional(std::string_view key)
{
    requested_keys_.emplace(key);
    return table_.get(key);
}

toml::node const* table_reader::required(std::string_view key, std::string_view expected_value)
{
    toml::node const* const node = optional(key);
    if (node == nullptr)
        report(key, "nothing", fmt::format("add this key: {}", expected_value));
    return node;
}

void table_reader::report(std::string_view key, std::string seen, std::string remedy)
{
    toml::node const* const node = table_.get(key);
    auto const line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
    std::string const path = path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
    findings_.push_back({.file = file_,
                         .line = line,
                         .key = path,
                         .seen = std::move(seen),
                         .remedy = std::move(remedy)});
}

std::string table_reader::checked_text(std::string_view key, toml::node const& node)
{
    auto const value = node.value<std::string>();
    if (!node.is_string() || value->empty()) {
        report(key, display_text(node), "write a text in quotes that isn't empty");
        return {};
    }
    return *value;
}

std::string table_reader::name(std::string_view key)
{
    toml::node const* const node = required(key, "a name of a-z, 0-9 and '-'");
    if (node == nullptr)
        return {};
    std::string value = checked_text(key, *node);
    if (!value.empty() && !is_valid_name(value))
        report(key, display_text(*node), "write 1 to 63 characters of a-z, 0-9 and '-'");
    return value;
}

std::string table_reader::text(std::string_view key)
{
    toml::node const* const node = required(key, "a text in quotes");
    return node == nullptr ? std::string{} : checked_text(key, *node);
}

std::string table_reader::text_or(std::string_view key, std::string const& default_value)
{
    toml::node const* const node = optional(key);
    return node == nullptr ? default_value : checked_text(key, *node);
}

std::string table_reader::choice(std::string_view key, std::vector<std::string> const& choices)
{
    std::string const allowed_values = fmt::format("one of {}", fmt::join(choices, ", "));
    toml::node const* const node = required(key, allowed_values);
    if (node == nullptr)
        return choices.front();
    auto const value = node->value<std::string>();
    if (!value || std::find(choices.begin(), choices.end(), *value) == choices.end()) {
        report(key, display_text(*node), "write " + allowed_values);
        return choices.front();
    }
    return *value;
}

std::int64_t table_reader::checked_integer(std::string_view key, toml::node const& node,
                                           integer_range range)
{
    auto const* const value = node.as_integer();
    if (value == nullptr || value->get() < range.lowest || value->get() > range.highest) {
        report(key, display_text(node),
               fmt::format("write a whole number from {} to {}", range.lowest, range.highest));
        return range.lowest;
    }
    return value->get();
}

std::int64_t table_reader::integer(std::string_view key, integer_range range)
{
    toml::node const* const node =
        required(key, fmt::format("a whole number from {} to {}", range.lowest, range.highest));
    return node == nullptr ? range.lowest : checked_integer(key, *node, range);
}

std::int64_t table_reader::integer_or(std::string_view key, integer_range range,
                                      std::int64_t default_value)
{
    toml::node const* const node = optional(key);
    return node == nullptr ? default_value : checked_integer(key, *node, range);
}

double table_reader::checked_number(std::string_view key, toml::node const& node,
                                    number_range range)
{
    auto const value = node.is_number() ? node.value<double>() : std::nullopt;
    if (!value || !(*value >= range.lowest && *value <= range.highest)) {
        report(key, display_text(node),
               fmt::format("write a number from {} to {}", range.lowest, range.highest));
        return range.lowest;
    }
    return *value;
}

double table_reader::number(std::string_view key, number_range range)
{
    toml::node const* const node =
        required(key, fmt::format("a number from {} to {}", range.lowest, range.highest));
    return node == nullptr ? range.lowest : checked_number(key, *node, range);
}

double table_reader::number_or(std::string_view key, number_range range, double default_value)
{
    toml::node const* const node = optional(key);
    return node == nullptr ? default_value : checked_number(key, *node, range);
}

bool table_reader::boolean(std::string_view key)
{
    toml::node const* const node = required(key, "true or false");
    if (node == nullptr)
        return false;
    auto const* const value = node->as_boolean();
    if (value == nullptr) {
        report(key, display_text(*node), "write true or false");
        return false;
    }
    return value->get();
}

address table_reader::socket_address(std::string_view key)
{
    std::string const address_text = text(key);
    if (address_text.empty())
        return {};
    return handle_failure([&] { return parse_address(address_text); },
                          [&](failure const& error) {
                              report(key, address_text, error.message);
                              return address{};
                          });
}

std::vector<std::string> table_reader::string_list(std::string_view key)
{
    toml::node const* const node = optional(key);
    if (node == nullptr)
        return {};
    toml::array const* const array = node->as_array();
    if (array == nullptr) {
        report(key, display_text(*node), "write a list of texts, such as [\"a\", \"b\"]");
        return {};
    }
    std::vector<std::string> values;
    for (toml::node const& each : *array) {
        if (!each.is_string()) {
            report(key, display_text(each), "write only texts in quotes in this list");
            continue;
        }
        values.push_back(each.value_or(std::string{}));
    }
    return values;
}

std::vector<toml::table const*> table_reader::table_list(std::string_view key)
{
    toml::node const* const node = optional(key);
    if (node == nullptr)
        return {};
    toml::array const* const array = node->as_array();
    if (array == nullptr || !array->is_array_of_tables()) {
        report(key, display_text(*node),
               fmt::format("write each one under its own [[{}]] heading", key));
        return {};
    }
    std::vector<toml::table const*> table_list;
    for (toml::node const& each : *array)
        table_list.push_back(each.as_table());
    return table_list;
}

toml::table const* table_reader::table(std::string_view key)
{
    toml::node const* const node = required(key, fmt::format("a [{}] table", key));
    if (node == nullptr)
        return nullptr;
    if (!node->is_table())
        report(key, display_text(*node), fmt::format("write a [{}] table", key));
    return node->as_table();
}

void table_reader::report_unknown_keys()
{
    for (auto const& [key, node] : table_) {
        if (requested_keys_.contains(key.str()))
            continue;
        report(key.str(), display_text(node),
               "this key is unknown; remove it or check its spelling in docs/CONFIGURATION.md");
    }
}

std::optional<toml::table> parse_toml(std::string const& file, std::string_view text,
                                      std::vector<finding>& findings)
{
    try {
        return toml::parse(text, std::string_view(file));
    }
    catch (toml::parse_error const& error) {
        findings.push_back({.file = file,
                            .line = error.source().begin.line,
                            .key = "syntax",
                            .seen = {},
                            .remedy = fmt::format("{}; correct the TOML syntax at this line",
                                                  error.description())});
        return std::nullopt;
    }
}

} // namespace burdockstep
