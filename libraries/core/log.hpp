/// Structured log on standard output. A line holds the time, the level, the logger's prefix, a
/// message and key=value fields.
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

/// One key=value field. A value with a space, a quote or an equals sign is written in quotes.
struct log_field
{
    std::string_view key;
    std::string value;
};

/// Creates a field from any value that fmt can format.
template <class T>
log_field field(std::string_view key, T const& value)
{
    return {.key = key, .value = fmt::format("{}", value)};
}

/// Writes the log lines of one component, marked with a fixed prefix. The same message is written
/// at most `lines_per_second` times a second; its next line carries the number of suppressed ones.
/// Writing never blocks: while standard output is not read, lines beyond a bounded buffer are
/// dropped, and their number is logged.
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

    /// Drops lines below this level in all loggers of the process.
    static void set_threshold(log_level level);
    /// With true, buffers lines until `flush` or until `PIPE_BUF` bytes are pending.
    static void set_buffered(bool buffered);
    /// Writes as many buffered bytes as standard output accepts without blocking.
    static void flush();

private:
    /// Lines with the same message within the current one-second window.
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
