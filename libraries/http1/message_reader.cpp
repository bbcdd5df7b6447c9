#include "libraries/http1/message_reader.hpp"

#include "libraries/http1/message_body.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace burdockstep::http1 {

namespace {

constexpr std::uint64_t no_content_length = std::numeric_limits<std::uint64_t>::max();
constexpr unsigned lowest_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
/// Return values of http_parser callbacks: continue, or (on_headers_complete) expect no body.
constexpr int continue_parsing = 0;
constexpr int continue_without_body = 1;
/// Return value of http_parser callbacks that stops parsing with an error.
constexpr int abort_parsing = -1;

message_reader& reader_of(http_parser* parser)
{
    return *static_cast<message_reader*>(parser->data);
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
    });
    return text;
}

bool is_chunked_encoding(std::string_view encoding)
{
    std::string_view const without_trailing_space =
        encoding.substr(0, encoding.find_last_not_of(" \t") + 1);
    return lower_case(std::string(without_trailing_space)) == "chunked";
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

/// True if the text contains a version and the first digit of a status, as in "HTTP/1.1 2".
bool contains_status_line(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/";
    constexpr std::size_t rest_size = std::string_view("1.1 2").size();
    for (auto at = text.find(protocol); at != std::string_view::npos;
         at = text.find(protocol, at + 1)) {
        std::string_view const rest = text.substr(at + protocol.size(), rest_size);
        if (rest.size() == rest_size && is_digit(rest[0]) && rest[1] == '.' && is_digit(rest[2]) &&
            rest[3] == ' ' && is_digit(rest[4]))
            return true;
    }
    return false;
}

} // namespace

std::size_t message_head::memory_bytes() const
{
    // The list of fields grows to at most twice its size.
    std::size_t bytes = target.size() + headers.size() * 2 * sizeof(http_header);
    for (http_header const& each : headers)
        bytes += each.name.size() + each.value.size();
    return bytes;
}

message_reader::message_reader(message_kind kind, std::size_t max_head_bytes,
                               message_listener& listener)
    : listener_(listener), kind_(kind), max_head_bytes_(max_head_bytes)
{
    http_parser_init(&parser_, kind == message_kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

http_parser_settings const& message_reader::callbacks()
{
    static http_parser_settings const settings = [] {
        http_parser_settings new_settings;
        http_parser_settings_init(&new_settings);
        new_settings.on_message_begin = [](http_parser* parser) {
            message_reader& reader = reader_of(parser);
            reader.head_ = {};
            reader.head_bytes_ = 0;
            reader.reason_phrase_.clear();
            // The last trailer of the message before.
            reader.header_name_.clear();
            reader.header_value_.clear();
            reader.inside_message_ = true;
            reader.reading_value_ = false;
            return continue_parsing;
        };
        new_settings.on_url = [](http_parser* parser, char const* chunk, std::size_t size) {
            reader_of(parser).head_.target.append(chunk, size);
            return reader_of(parser).count_head_bytes(size);
        };
        new_settings.on_status = [](http_parser* parser, char const* chunk, std::size_t size) {
            reader_of(parser).reason_phrase_.append(chunk, size);
            return reader_of(parser).count_head_bytes(size);
        };
        new_settings.on_header_field = [](http_parser* parser, char const* chunk,
                                          std::size_t size) {
            message_reader& reader = reader_of(parser);
            if (reader.reading_value_ && !reader.try_store_header())
                return abort_parsing;
            reader.header_name_.append(chunk, size);
            // Rejected: parsers disagree on the name of a field with white space before its colon,
            // which allows request smuggling.
            bool const has_space =
                std::string_view(chunk, size).find_first_of(" \t") != std::string_view::npos;
            return has_space ? abort_parsing : reader.count_head_bytes(size);
        };
        new_settings.on_header_value = [](http_parser* parser, char const* chunk,
                                          std::size_t size) {
            message_reader& reader = reader_of(parser);
            reader.reading_value_ = true;
            reader.header_value_.append(chunk, size);
            return reader.count_head_bytes(size);
        };
        new_settings.on_headers_complete = [](http_parser* parser) {
            return reader_of(parser).complete_head();
        };
        new_settings.on_body = [](http_parser* parser, char const* chunk, std::size_t size) {
            reader_of(parser).listener_.on_body(std::string_view(chunk, size));
            return continue_parsing;
        };
        new_settings.on_message_complete = [](http_parser* parser) {
            message_reader& reader = reader_of(parser);
            reader.inside_message_ = false;
            reader.listener_.on_message_end();
            if (reader.stopped_)
                http_parser_pause(parser, 1);
            return continue_parsing;
        };
        return new_settings;
    }();
    return settings;
}

bool message_reader::try_store_header()
{
    reading_value_ = false;
    if (header_name_.empty())
        return true;
    if (head_.headers.size() == max_fields_) {
        fault_ = read_fault::head_too_large;
        return false;
    }
    head_.headers.add(lower_case(std::exchange(header_name_, {})),
                      std::exchange(header_value_, {}));
    return true;
}

int message_reader::count_head_bytes(std::size_t size)
{
    head_bytes_ += size;
    if (head_bytes_ <= max_head_bytes_)
        return continue_parsing;
    fault_ = read_fault::head_too_large;
    return abort_parsing;
}

bool message_reader::has_status_line_inside_head() const
{
    return contains_status_line(reason_phrase_) ||
           std::any_of(head_.headers.begin(), head_.headers.end(),
                       [](http_header const& each) { return contains_status_line(each.value); });
}

bool message_reader::has_unknown_transfer_encoding() const
{
    return std::any_of(head_.headers.begin(), head_.headers.end(), [](http_header const& each) {
        return each.name == "transfer-encoding" && !is_chunked_encoding(each.value);
    });
}

bool message_reader::status_allows_no_body() const
{
    if (kind_ == message_kind::requests)
        return false;
    bool const is_interim = parser_.status_code < first_final_status;
    return is_interim || parser_.status_code == status_no_content ||
           parser_.status_code == status_not_modified;
}

int message_reader::complete_head()
{
    if (!try_store_header())
        return abort_parsing;
    head_bytes_ = 0;
    if (kind_ == message_kind::answers && parser_.status_code < lowest_status)
        return abort_parsing;
    // The parser rejects such an encoding in requests.
    if (kind_ == message_kind::answers &&
        (has_status_line_inside_head() || has_unknown_transfer_encoding()))
        return abort_parsing;
    // Protocol upgrades aren't supported: the rest is parsed as an ordinary message.
    parser_.upgrade = 0;
    if (kind_ == message_kind::requests)
        head_.method = http_method_str(static_cast<http_method>(parser_.method));
    else
        head_.status = static_cast<int>(parser_.status_code);
    if (parser_.content_length != no_content_length)
        head_.content_length = parser_.content_length;
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    head_.is_http_1_0 = parser_.http_major == 1 && parser_.http_minor == 0;
    listener_.on_head(std::move(head_));
    return expects_no_body_ || status_allows_no_body() ? continue_without_body : continue_parsing;
}

bool message_reader::read(std::string_view bytes)
{
    if (fault_ != read_fault::none)
        return false;
    if (stopped_)
        return true;
    std::size_t const parsed_bytes =
        http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    auto const error = HTTP_PARSER_ERRNO(&parser_);
    if (fault_ != read_fault::none)
        return false;
    bool const failed = error != HPE_OK && error != HPE_PAUSED;
    bool const has_unparsed_bytes = parsed_bytes != bytes.size() && !stopped_;
    if (error == HPE_HEADER_OVERFLOW)
        fault_ = read_fault::head_too_large;
    else if (failed || has_unparsed_bytes)
        fault_ = read_fault::malformed;
    return fault_ == read_fault::none;
}

void message_reader::discard()
{
    stopped_ = true;
    head_ = {};
    free_string(head_.target);
    free_string(header_name_);
    free_string(header_value_);
}

bool message_reader::read_end()
{
    if (fault_ != read_fault::none)
        return false;
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !inside_message_;
}

} // namespace burdockstep::http1
