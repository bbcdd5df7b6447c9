#include "libraries/http1/server_connection.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstep::http1 {

namespace {

/// The connection ends if sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
constexpr duration unacknowledged_timeout = std::chrono::seconds(10);

/// A request must be received completely within this time, so that a slow sender doesn't hold a
/// connection.
constexpr duration max_request_read_time = std::chrono::seconds(30);

/// When a caller whose request found no room may ask again.
constexpr int no_room_retry_after_s = 1;

/// The writer of an answer waits while this much of it is unsent.
constexpr std::size_t max_unsent_answer_bytes = std::size_t{64} * 1024;
constexpr int status_bad_gateway = 502;

bool status_allows_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

/// True if an answer that tells the caller of the close may still be on its way. A reset would
/// destroy it.
bool has_just_answered(connection_end end)
{
    return end == connection_end::answered || end == connection_end::unreadable;
}

} // namespace

server_connection::server_connection(event_loop& loop, clock_source const& clock,
                                     std::uint64_t number, server_limits const& limits,
                                     memory_budget& budget, owner& connection_owner)
    : loop_(loop), clock_(clock), number_(number), limits_(limits), owner_(connection_owner),
      socket_(loop, *this, budget), reader_(message_kind::requests, limits.max_head_bytes, *this),
      partial_charge_(socket_.make_charge()), last_activity_at_(clock.now()),
      idle_timeout_at_answer_(limits.idle_timeout)
{}

server_connection::~server_connection()
{
    end_connection(connection_end::aborted);
}

bool server_connection::accept(uv_stream_t* listening_handle)
{
    return socket_.accept(listening_handle, unacknowledged_timeout);
}

void server_connection::set_limits(server_limits const& limits)
{
    limits_ = limits;
    reader_.set_max_head_bytes(limits.max_head_bytes);
}

void server_connection::on_head(message_head head)
{
    partial_head_ = std::move(head);
    partial_body_ = {};
    if (partial_head_.content_length.value_or(0) > limits_.max_body_bytes) {
        stop_reading_with_error(413);
        return;
    }
    // Sent immediately, so that the caller doesn't wait: the length check above has passed.
    if (partial_head_.headers.find("expect") == "100-continue")
        socket_.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void server_connection::on_body(std::string_view bytes)
{
    if (error_status_ != 0)
        return;
    if (partial_body_.size() + bytes.size() > limits_.max_body_bytes) {
        stop_reading_with_error(413);
        return;
    }
    append_to_body(partial_body_, bytes, partial_head_.content_length, limits_.max_body_bytes);
}

bool server_connection::try_charge_partial_request()
{
    return partial_charge_.try_resize(partial_head_.memory_bytes() + partial_body_.size() +
                                      reader_.memory_bytes());
}

void server_connection::discard_partial_request()
{
    partial_head_ = {};
    free_string(partial_head_.target);
    free_string(partial_body_);
    partial_charge_.resize(0);
    reader_.discard();
}

void server_connection::on_message_end()
{
    if (connection_ended_ || error_status_ != 0)
        return;
    if (!try_charge_partial_request()) {
        stop_reading_with_error(503);
        return;
    }
    // Making room may have ended other connections, and their requests this one's.
    if (connection_ended_)
        return;
    // Later requests are neither read nor run; the caller sends them again on a new connection.
    std::size_t const pipelined = unanswered_exchanges_.size() + socket_.unsent_writes() + 1;
    if (!partial_head_.keep_alive || pipelined >= limits_.max_pipelined) {
        closing_after_answers_ = true;
        reader_.stop();
    }
    memory_charge body_charge = partial_charge_.split(partial_body_.size());
    memory_charge head_charge = std::exchange(partial_charge_, socket_.make_charge());
    auto const each = std::make_shared<exchange>(
        this, number_,
        server_request{.head = std::exchange(partial_head_, {}),
                       .body =
                           message_body(std::exchange(partial_body_, {}), std::move(body_charge)),
                       .head_charge = std::move(head_charge)});
    unanswered_exchanges_.push_back(each);
    owner_.on_request(each);
}

void server_connection::on_bytes(std::string_view bytes)
{
    last_activity_at_ = clock_.now();
    if (!reader_.is_inside_message())
        message_started_at_ = last_activity_at_;
    if (error_status_ != 0)
        return;
    bool const readable = reader_.read(bytes);
    if (!readable && error_status_ == 0)
        stop_reading_with_error(reader_.fault() == read_fault::head_too_large ? 431 : 400);
    if (!connection_ended_ && error_status_ == 0 && !try_charge_partial_request())
        stop_reading_with_error(503);
    if (error_status_ != 0)
        write_ready_answers();
}

void server_connection::stop_reading_with_error(int status)
{
    error_status_ = status;
    discard_partial_request();
}

void server_connection::on_give_up()
{
    bool const refuses_request = reader_.is_inside_message() && error_status_ == 0 &&
                                 unanswered_exchanges_.empty() && socket_.unsent_bytes() == 0;
    if (!connection_ended_ && refuses_request)
        write_error(503);
    end_connection(connection_end::given_up);
}

void server_connection::write_error(int status)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n",
                                   status, reason_phrase(status));
    if (status == 503)
        fmt::format_to(std::back_inserter(head), "Retry-After: {}\r\n", no_room_retry_after_s);
    socket_.write(head + "\r\n");
}

void server_connection::on_stream_end(stream_end end)
{
    end_connection(end == stream_end::closed ? connection_end::closed_by_caller
                                             : connection_end::reset);
}

void server_connection::write_ready_answers()
{
    while (!connection_ended_ && !unanswered_exchanges_.empty()) {
        if (!write_first_answer())
            break;
        std::shared_ptr<exchange> const answered_exchange =
            std::move(unanswered_exchanges_.front());
        unanswered_exchanges_.pop_front();
        answered_exchange->connection_ = nullptr;
        last_activity_at_ = clock_.now();
        idle_timeout_at_answer_ = limits_.idle_timeout;
        if (answered_exchange->closes_connection_)
            end_connection(connection_end::answered);
    }
    notify_writer();
    if (connection_ended_ || error_status_ == 0 || !unanswered_exchanges_.empty())
        return;
    write_error(error_status_);
    end_connection(connection_end::unreadable);
}

bool server_connection::closes_after_first_answer() const
{
    return closing_after_answers_ && unanswered_exchanges_.size() == 1 &&
           !reader_.is_inside_message();
}

bool server_connection::write_first_answer()
{
    exchange& first = *unanswered_exchanges_.front();
    if (first.answer_) {
        first.closes_connection_ = closes_after_first_answer();
        write_answer(first, first.closes_connection_);
        return true;
    }
    if (!first.streamed_)
        return false;
    if (!first.streamed_->head_is_written)
        write_streamed_head(first);
    write_streamed_parts(first);
    return first.streamed_->is_finished;
}

void server_connection::write_streamed_head(exchange& started_exchange)
{
    exchange::streamed_answer& answer = *started_exchange.streamed_;
    answer.head_is_written = true;
    started_exchange.closes_connection_ = closes_after_first_answer();
    std::string head =
        fmt::format("HTTP/1.1 {} {}\r\n", answer.head.status, reason_phrase(answer.head.status));
    for (http_header const& each : answer.head.headers)
        fmt::format_to(std::back_inserter(head), "{}: {}\r\n", each.name, each.value);
    if (answer.head.content_length)
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n",
                       *answer.head.content_length);
    else if (status_allows_body(answer.head.status))
        head += "Transfer-Encoding: chunked\r\n";
    head += started_exchange.closes_connection_ ? "Connection: close\r\n\r\n" : "\r\n";
    socket_.write(std::move(head));
}

void server_connection::write_streamed_parts(exchange& started_exchange)
{
    exchange::streamed_answer& answer = *started_exchange.streamed_;
    bool const has_body =
        status_allows_body(answer.head.status) && started_exchange.request_.head.method != "HEAD";
    bool const is_chunked = has_body && !answer.head.content_length;
    // Small parts are collected while earlier ones wait in the socket.
    if (!answer.unsent.empty() && (socket_.unsent_writes() == 0 || answer.is_finished)) {
        std::string chunk_head;
        if (is_chunked)
            chunk_head =
                fmt::format("{}{:x}\r\n", answer.has_chunks ? "\r\n" : "", answer.unsent.size());
        answer.has_chunks = true;
        message_body part(std::exchange(answer.unsent, {}), std::move(answer.unsent_charge));
        answer.unsent_charge = socket_.make_charge();
        if (has_body)
            socket_.write(std::move(chunk_head), std::move(part));
    }
    if (answer.is_finished && is_chunked)
        socket_.write(answer.has_chunks ? "\r\n0\r\n\r\n" : "0\r\n\r\n");
}

bool server_connection::may_write_more(exchange const& started_exchange) const
{
    return started_exchange.streamed_->unsent.size() + socket_.unsent_bytes() <
           max_unsent_answer_bytes;
}

void server_connection::notify_writer()
{
    if (connection_ended_ || unanswered_exchanges_.empty())
        return;
    exchange& first = *unanswered_exchanges_.front();
    bool const may_go_on =
        first.streamed_ && first.streamed_->writer_waits && may_write_more(first);
    if (!may_go_on)
        return;
    first.streamed_->writer_waits = false;
    loop_.post([weak_exchange = first.weak_from_this()] {
        auto const writable_exchange = weak_exchange.lock();
        if (writable_exchange == nullptr || writable_exchange->is_disconnected())
            return;
        // Copied, because the handler may replace itself.
        if (auto const handler = writable_exchange->writable_handler_)
            handler();
    });
}

void server_connection::on_drained()
{
    write_ready_answers();
}

void server_connection::write_answer(exchange& ready_exchange, bool closes_connection)
{
    server_answer& answer = *ready_exchange.answer_;
    std::string head =
        fmt::format("HTTP/1.1 {} {}\r\n", answer.status, reason_phrase(answer.status));
    for (http_header const& each : answer.headers)
        fmt::format_to(std::back_inserter(head), "{}: {}\r\n", each.name, each.value);
    if (status_allows_body(answer.status))
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n", answer.body.size());
    head += closes_connection ? "Connection: close\r\n\r\n" : "\r\n";
    message_body body;
    if (status_allows_body(answer.status) && ready_exchange.request_.head.method != "HEAD")
        body = message_body(std::move(answer.body), std::move(ready_exchange.answer_charge_));
    socket_.write(std::move(head), std::move(body));
}

void server_connection::break_off(exchange& broken_exchange)
{
    bool const has_begun = broken_exchange.streamed_ && broken_exchange.streamed_->head_is_written;
    if (has_begun) {
        end_connection(connection_end::aborted);
        return;
    }
    broken_exchange.streamed_.reset();
    closing_after_answers_ = true;
    reader_.stop();
    broken_exchange.reply({.status = status_bad_gateway, .headers = {}, .body = {}});
}

void server_connection::abort()
{
    end_connection(connection_end::aborted);
}

bool server_connection::is_idle() const
{
    return unanswered_exchanges_.empty() && !reader_.is_inside_message() &&
           socket_.unsent_bytes() == 0 && !socket_.has_unread_input();
}

void server_connection::check_time_limits(time_point now)
{
    if (connection_ended_)
        return;
    if (reader_.is_inside_message()) {
        bool const is_stalled =
            now - last_activity_at_ > limits_.request_stall_timeout && !socket_.has_unread_input();
        bool const exceeds_read_time = now - message_started_at_ > max_request_read_time;
        if ((is_stalled || exceeds_read_time) && error_status_ == 0) {
            stop_reading_with_error(408);
            write_ready_answers();
        }
        return;
    }
    duration const idle_timeout = std::max(limits_.idle_timeout, idle_timeout_at_answer_);
    if (now - last_activity_at_ > idle_timeout && is_idle())
        end_connection(connection_end::idle);
}

void server_connection::end_connection(connection_end end)
{
    if (std::exchange(connection_ended_, true))
        return;
    // A caller that is being refused may still be sending a request inside the limits.
    if (has_just_answered(end))
        socket_.close_gracefully(
            {.max_discarded_bytes = limits_.max_head_bytes + limits_.max_body_bytes,
             .max_stall = std::max(limits_.idle_timeout, idle_timeout_at_answer_)},
            owner_.reader_after_end(end));
    else
        socket_.close();
    discard_partial_request();
    auto const unanswered = std::exchange(unanswered_exchanges_, {});
    for (auto const& each : unanswered)
        each->connection_ = nullptr;
    for (auto const& each : unanswered) {
        if (each->disconnect_handler_ && !each->has_complete_answer())
            std::exchange(each->disconnect_handler_, nullptr)(end);
    }
    owner_.on_connection_closed(*this, end, unanswered.size());
}

void exchange::reply(server_answer answer)
{
    if (answer_ || streamed_ || connection_ == nullptr)
        return;
    answer_ = std::move(answer);
    answer_charge_ = connection_->socket_.make_charge();
    answer_charge_.resize(answer_->body.size());
    disconnect_handler_ = nullptr;
    connection_->write_ready_answers();
}

void exchange::start(streamed_answer_head head)
{
    if (answer_ || streamed_ || connection_ == nullptr)
        return;
    streamed_ = streamed_answer{
        .head = std::move(head), .unsent = {}, .unsent_charge = connection_->socket_.make_charge()};
    connection_->write_ready_answers();
}

bool exchange::write(std::string_view bytes)
{
    if (!streamed_ || streamed_->is_finished || connection_ == nullptr)
        return true;
    streamed_->unsent.append(bytes);
    streamed_->unsent_charge.resize(streamed_->unsent.size());
    connection_->write_ready_answers();
    if (connection_ == nullptr)
        return true;
    streamed_->writer_waits = !connection_->may_write_more(*this);
    return !streamed_->writer_waits;
}

void exchange::finish()
{
    if (!streamed_ || connection_ == nullptr)
        return;
    streamed_->is_finished = true;
    disconnect_handler_ = nullptr;
    writable_handler_ = nullptr;
    connection_->write_ready_answers();
}

void exchange::break_off()
{
    if (connection_ != nullptr)
        connection_->break_off(*this);
}

address exchange::peer() const
{
    return connection_ == nullptr ? address{} : connection_->socket_.peer_address();
}

void exchange::abort()
{
    if (connection_ != nullptr)
        connection_->abort();
}

} // namespace burdockstep::http1
