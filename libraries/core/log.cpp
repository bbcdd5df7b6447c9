#include "libraries/core/log.hpp"

#include <fmt/chrono.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace burdockstep {

namespace {

/// Size limit of the output buffer. Lines that would exceed it are dropped.
constexpr std::size_t max_pending_bytes = std::size_t{256} * 1024;
/// A pipe that `poll` reports as writable accepts this many bytes without blocking.
constexpr std::size_t max_nonblocking_write_bytes = PIPE_BUF;
/// Messages whose rate is tracked in one logger; beyond it all rates start anew.
constexpr std::size_t max_tracked_messages = 256;

log_level minimum_level = log_level::info;
bool is_buffered = false;

struct line_buffer
{
    std::string bytes;
    std::size_t dropped = 0;

    void add(std::string_view line)
    {
        if (bytes.size() + line.size() > max_pending_bytes) {
            ++dropped;
            return;
        }
        if (dropped > 0)
            bytes += fmt::format("lines dropped because standard output was not read: {}\n",
                                 std::exchange(dropped, 0));
        bytes += line;
    }

    void flush()
    {
        std::size_t written = 0;
        while (written < bytes.size()) {
            pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
                break;
            std::size_t const size = std::min(bytes.size() - written, max_nonblocking_write_bytes);
            ssize_t const write_result = ::write(STDOUT_FILENO, bytes.data() + written, size);
            if (write_result <= 0)
                break;
            written += static_cast<std::size_t>(write_result);
        }
        bytes.erase(0, written);
    }
};

line_buffer& output_buffer()
{
    static line_buffer lines;
    return lines;
}

constexpr std::string_view name_of(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::string format_field(log_field const& field)
{
    if (field.value.find_first_of(" \"=") == std::string::npos)
        return fmt::format(" {}={}", field.key, field.value);
    std::string escaped;
    for (char const c : field.value) {
        if (c == '"' || c == '\\')
            escaped.push_back('\\');
        escaped.push_back(c == '\n' ? ' ' : c);
    }
    return fmt::format(" {}=\"{}\"", field.key, escaped);
}

} // namespace

void logger::set_threshold(log_level level)
{
    minimum_level = level;
}

void logger::set_buffered(bool buffered)
{
    is_buffered = buffered;
}

void logger::flush()
{
    output_buffer().flush();
}

void logger::debug(std::string_view message, std::initializer_list<log_field> fields)
{
    write(log_level::debug, message, fields);
}

void logger::info(std::string_view message, std::initializer_list<log_field> fields)
{
    write(log_level::info, message, fields);
}

void logger::warning(std::string_view message, std::initializer_list<log_field> fields)
{
    write(log_level::warning, message, fields);
}

void logger::error(std::string_view message, std::initializer_list<log_field> fields)
{
    write(log_level::error, message, fields);
}

void logger::write(log_level level, std::string_view message,
                   std::initializer_list<log_field> fields)
{
    if (level < minimum_level)
        return;
    auto const now = std::chrono::steady_clock::now();
    if (message_rates_.size() > max_tracked_messages)
        message_rates_.clear();
    message_rate& rate = message_rates_[std::string(message)];
    unsigned suppressed = 0;
    if (now - rate.window_start >= std::chrono::seconds(1)) {
        suppressed = std::exchange(rate.suppressed, 0);
        rate.window_start = now;
        rate.written = 0;
    }
    if (rate.written >= lines_per_second_) {
        ++rate.suppressed;
        return;
    }
    ++rate.written;
    auto const wall_time =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line =
        fmt::format("{:%FT%T}Z {} {}: {}", fmt::gmtime(wall_time.time_since_epoch().count() / 1000),
                    name_of(level), prefix_, message);
    for (log_field const& each : fields)
        line += format_field(each);
    if (suppressed > 0)
        line += fmt::format(" suppressed={}", suppressed);
    line.push_back('\n');
    output_buffer().add(line);
    if (!is_buffered || output_buffer().bytes.size() >= max_nonblocking_write_bytes)
        output_buffer().flush();
}

} // namespace burdockstep
