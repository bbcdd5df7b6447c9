#include "libraries/core/log.hpp"

#include <fmt/chrono.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace burdockstep {

namespace {

/// Lines that wait for a reader; beyond it they are dropped.
constexpr std::size_t most_pending_bytes = std::size_t{256} * 1024;
/// A pipe that is writable takes so many bytes without blocking.
constexpr std::size_t unblocked_write_bytes = PIPE_BUF;
constexpr std::size_t remembered_sentences = 256;

log_level threshold = log_level::info;
bool is_buffered = false;

struct pending_lines
{
    std::string bytes;
    std::size_t dropped = 0;

    void add(std::string_view line)
    {
        if (bytes.size() + line.size() > most_pending_bytes) {
            ++dropped;
            return;
        }
        if (dropped > 0)
            bytes +=
                fmt::format("lines dropped, as nobody read them: {}\n", std::exchange(dropped, 0));
        bytes += line;
    }

    void flush()
    {
        std::size_t written = 0;
        while (written < bytes.size()) {
            pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
                break;
            std::size_t const size = std::min(bytes.size() - written, unblocked_write_bytes);
            ssize_t const taken = ::write(STDOUT_FILENO, bytes.data() + written, size);
            if (taken <= 0)
                break;
            written += static_cast<std::size_t>(taken);
        }
        bytes.erase(0, written);
    }
};

pending_lines& pending()
{
    static pending_lines lines;
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

std::string rendered(log_field const& field)
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
    threshold = level;
}

void logger::set_buffered(bool buffered)
{
    is_buffered = buffered;
}

void logger::flush()
{
    pending().flush();
}

void logger::debug(std::string_view sentence, std::initializer_list<log_field> fields)
{
    write(log_level::debug, sentence, fields);
}

void logger::info(std::string_view sentence, std::initializer_list<log_field> fields)
{
    write(log_level::info, sentence, fields);
}

void logger::warning(std::string_view sentence, std::initializer_list<log_field> fields)
{
    write(log_level::warning, sentence, fields);
}

void logger::error(std::string_view sentence, std::initializer_list<log_field> fields)
{
    write(log_level::error, sentence, fields);
}

void logger::write(log_level level, std::string_view sentence,
                   std::initializer_list<log_field> fields)
{
    if (level < threshold)
        return;
    auto const now = std::chrono::steady_clock::now();
    if (recent_.size() > remembered_sentences)
        recent_.clear();
    recent_lines& recent = recent_[std::string(sentence)];
    unsigned suppressed = 0;
    if (now - recent.window_start >= std::chrono::seconds(1)) {
        suppressed = std::exchange(recent.suppressed, 0);
        recent.window_start = now;
        recent.written = 0;
    }
    if (recent.written >= lines_per_second_) {
        ++recent.suppressed;
        return;
    }
    ++recent.written;
    auto const wall =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line =
        fmt::format("{:%FT%T}Z {} {}: {}", fmt::gmtime(wall.time_since_epoch().count() / 1000),
                    name_of(level), prefix_, sentence);
    for (log_field const& each : fields)
        line += rendered(each);
    if (suppressed > 0)
        line += fmt::format(" suppressed={}", suppressed);
    line.push_back('\n');
    pending().add(line);
    if (!is_buffered || pending().bytes.size() >= unblocked_write_bytes)
        pending().flush();
}

} // namespace burdockstep
