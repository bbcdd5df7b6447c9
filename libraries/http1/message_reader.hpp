/// Incremental parsing of HTTP/1.1 messages from a byte stream.
#pragma once

#include "libraries/net/http_types.hpp"

#include <http_parser.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace burdockstep::http1 {

/// Start line and headers of one message. Header names are lower case.
struct message_head
{
    std::string method; ///< Set for requests.
    std::string target; ///< Set for requests: path and query as sent.
    int status = 0;     ///< Set for answers.
    http_headers headers;
    std::optional<std::uint64_t> content_length;
    bool keep_alive = false;
    bool is_http_1_0 = false; ///< Its sender doesn't know chunked encoding.

    /// Memory that the head takes, rounded up.
    std::size_t memory_bytes() const;
};

/// Receives the parts of each message, in order.
class message_listener
{
public:
    virtual ~message_listener() = default;

    virtual void on_head(message_head head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_message_end() = 0;
};

/// Kind of messages that a reader parses.
enum class message_kind
{
    requests,
    answers
};

/// Why a reader rejected its input.
enum class read_fault
{
    none,
    malformed,
    head_too_large
};

/// Splits a byte stream into messages. Ambiguous framing (two lengths, a length together with
/// chunked encoding, an unknown transfer encoding) is malformed, as is an answer with a status line
/// inside its head: the head of one answer was cut there, and another follows. After a fault
/// nothing more is read.
class message_reader
{
public:
    /// `max_head_bytes` limits the total size of target, header names and header values.
    message_reader(message_kind kind, std::size_t max_head_bytes, message_listener& listener);

    void set_max_head_bytes(std::size_t max_head_bytes) { max_head_bytes_ = max_head_bytes; }
    /// Limits the number of fields of a head or trailer. By default, there is no limit but that of
    /// the bytes; a field takes more memory than the bytes that were sent.
    void set_max_fields(std::size_t max_fields) { max_fields_ = max_fields; }
    /// Parses bytes. Returns false once there is a fault.
    bool read(std::string_view bytes);
    /// Handles the end of the stream, which completes a message without a length. Returns false if
    /// it truncates a message.
    bool read_end();
    /// Set while reading answers to HEAD requests, which have no body whatever their headers say.
    void set_expects_no_body(bool expects_no_body) { expects_no_body_ = expects_no_body; }
    /// Stops reading at the end of the current message or of the current `read` call, whichever
    /// comes first. Later bytes are dropped.
    void stop() { stopped_ = true; }

    read_fault fault() const { return fault_; }
    /// Memory that an incomplete head or trailer takes.
    std::size_t memory_bytes() const { return head_bytes_ + head_.memory_bytes(); }
    /// Frees an incomplete head or trailer. Nothing may be read afterwards.
    void discard();
    /// True if a message has begun and not ended.
    bool is_inside_message() const { return inside_message_; }

private:
    static http_parser_settings const& callbacks();
    /// Returns false if there are too many fields.
    bool try_store_header();
    int count_head_bytes(std::size_t size);
    int complete_head();
    bool has_status_line_inside_head() const;
    bool has_unknown_transfer_encoding() const;
    /// True for answers that end with their head, whatever length it states.
    bool status_allows_no_body() const;

    message_listener& listener_;
    http_parser parser_{};
    message_kind kind_;
    std::size_t max_head_bytes_;
    std::size_t max_fields_ = std::numeric_limits<std::size_t>::max();
    std::size_t head_bytes_ = 0;
    message_head head_;
    std::string header_name_;
    std::string header_value_;
    std::string reason_phrase_;
    bool reading_value_ = false;
    bool inside_message_ = false;
    bool stopped_ = false;
    bool expects_no_body_ = false;
    read_fault fault_ = read_fault::none;
};

} // namespace burdockstep::http1
