/// Structured log on standard output: time, level, part, a short sentence, key=value fields.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace burdockstep {

/// Severity of a log line.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// One key=value field. The value is quoted when it holds spaces.
struct log_field
{
    std::string_view key;
    std::string value;
};

/// Makes a field from any formattable value.
template <class T>
log_field field(std::string_view key, T const& value)
{
    return {.key = key, .value = fmt::format("{}", value)};
}

/// Writes lines of one part of the program under a fixed prefix. A sentence that repeats is
/// written at most `lines_per_second` times a second; the next line tells how many were left out.
/// Writing never blocks: lines that nobody reads are dropped beyond a bound, and counted.
class logger
{
public:
    static constexpr unsigned default_lines_per_second = 5;

    explicit logger(std::string_view prefix, unsigned lines_per_second = default_lines_per_second)
        : prefix_(prefix), lines_per_second_(lines_per_second)
    {}

    void debug(std::string_view message, std::initializer_list<log_field> fields = {});
    void info(std::string_view message, std::initializer_list<log_field> fields = {});
    void warning(std::string_view message, std::initializer_list<log_field> fields = {});
    void error(std::string_view message, std::initializer_list<log_field> fields = {});

    /// Lines below this level are dropped, in all loggers of the process.
    static void set_threshold(log_level level);
    /// Keeps lines until `flush`, or until a few kilobytes have come together.
    static void set_buffered(bool buffered);
    /// Hands on what standard output takes now.
    static void flush();

private:
    struct message_rate
    {
        std::chrono::steady_clock::time_point window_start;
        unsigned written = 0;
        unsigned suppressed = 0;
    };

    void write(log_level level, std::string_view message, std::initializer_list<log_field> fields);

    std::string prefix_;
    unsigned lines_per_second_;
    std::unordered_map<std::string, message_rate> message_rates_;
};

} // namespace burdockstep
