#include "libraries/http1/server_connection.hpp"

#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace burdockstep::http1 {

namespace {

/// A caller that acknowledges nothing for so long is taken to be gone.
constexpr duration unacknowledged_limit = std::chrono::seconds(10);

/// A request that still isn't whole after this time keeps a connection for nothing.
constexpr duration slowest_request = std::chrono::seconds(30);

bool has_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

server_connection::server_connection(event_loop& loop, clock_source const& clock,
                                     server_limits const& limits, owner& its_owner)
    : clock_(clock), limits_(limits), owner_(its_owner), socket_(loop, *this),
      reader_(message_role::requests, limits.head_bytes, *this), last_activity_(clock.now())
{}

server_connection::~server_connection()
{
    finish(false);
}

bool server_connection::accept(uv_stream_t* listening)
{
    return socket_.accept(listening, unacknowledged_limit);
}

void server_connection::on_head(message_head head)
{
    reading_ = {.head = std::move(head), .body = {}};
    bool const too_large = reading_.head.content_length.value_or(0) > limits_.body_bytes;
    if (too_large) {
        refuse_reading(413);
        return;
    }
    // Nobody waits for a permission to send its body longer than this takes to write.
    if (reading_.head.headers.find("expect") == "100-continue")
        socket_.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void server_connection::on_body(std::string_view bytes)
{
    if (refusal_status_ != 0)
        return;
    if (reading_.body.size() + bytes.size() > limits_.body_bytes) {
        refuse_reading(413);
        return;
    }
    reading_.body.append(bytes);
}

void server_connection::on_message_end()
{
    if (finished_ || refusal_status_ != 0)
        return;
    // Requests behind the last one that is read aren't run: the caller sends them again.
    if (!reading_.head.keep_alive || waiting_.size() + 1 >= limits_.most_pipelined) {
        closing_ = true;
        reader_.stop();
    }
    auto const each = std::make_shared<exchange>(this, std::exchange(reading_, {}));
    waiting_.push_back(each);
    owner_.take_request(each);
}

void server_connection::on_bytes(std::string_view bytes)
{
    last_activity_ = clock_.now();
    if (!reader_.is_inside_message())
        head_began_ = last_activity_;
    if (refusal_status_ != 0)
        return;
    bool const readable = reader_.read(bytes);
    if (!readable && refusal_status_ == 0)
        refuse_reading(reader_.fault() == read_fault::head_too_large ? 431 : 400);
    if (refusal_status_ != 0)
        write_ready_answers();
}

void server_connection::refuse_reading(int status)
{
    refusal_status_ = status;
    reader_.stop();
}

void server_connection::on_stream_end(stream_end /*end*/)
{
    finish(false);
}

void server_connection::write_ready_answers()
{
    while (!finished_ && !waiting_.empty() && waiting_.front()->answer_) {
        std::shared_ptr<exchange> const first = std::move(waiting_.front());
        waiting_.pop_front();
        bool const last = closing_ && waiting_.empty() && !reader_.is_inside_message();
        write_answer(*first, last);
        first->connection_ = nullptr;
        last_activity_ = clock_.now();
        if (last)
            finish(true);
    }
    if (finished_ || refusal_status_ == 0 || !waiting_.empty())
        return;
    socket_.write(fmt::format("HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                              refusal_status_, reason_phrase(refusal_status_)));
    finish(true);
}

void server_connection::write_answer(exchange& which, bool last)
{
    server_answer& answer = *which.answer_;
    std::string bytes =
        fmt::format("HTTP/1.1 {} {}\r\n", answer.status, reason_phrase(answer.status));
    for (http_header const& each : answer.headers)
        fmt::format_to(std::back_inserter(bytes), "{}: {}\r\n", each.name, each.value);
    if (has_body(answer.status))
        fmt::format_to(std::back_inserter(bytes), "Content-Length: {}\r\n", answer.body.size());
    bytes += last ? "Connection: close\r\n\r\n" : "\r\n";
    if (has_body(answer.status) && which.request_.head.method != "HEAD")
        bytes += answer.body;
    socket_.write(std::move(bytes));
}

void server_connection::abort()
{
    finish(false);
}

void server_connection::close_if_idle()
{
    if (waiting_.empty() && !reader_.is_inside_message())
        finish(true);
}

void server_connection::check_time_limits(time_point now)
{
    if (finished_)
        return;
    if (reader_.is_inside_message()) {
        bool const silent = now - last_activity_ > limits_.head_timeout;
        bool const slow = now - head_began_ > slowest_request;
        if ((silent || slow) && refusal_status_ == 0) {
            refuse_reading(408);
            write_ready_answers();
        }
        return;
    }
    if (waiting_.empty() && now - last_activity_ > limits_.idle_timeout)
        finish(true);
}

void server_connection::finish(bool in_order)
{
    if (std::exchange(finished_, true))
        return;
    if (in_order)
        socket_.end_in_order();
    reader_.stop();
    auto const left = std::exchange(waiting_, {});
    for (auto const& each : left)
        each->connection_ = nullptr;
    for (auto const& each : left) {
        if (each->gone_handler_ && !each->answer_)
            std::exchange(each->gone_handler_, nullptr)();
    }
    owner_.take_closed(*this);
}

void exchange::reply(server_answer answer)
{
    if (answer_ || connection_ == nullptr)
        return;
    answer_ = std::move(answer);
    gone_handler_ = nullptr;
    connection_->write_ready_answers();
}

void exchange::abort()
{
    if (connection_ != nullptr)
        connection_->abort();
}

} // namespace burdockstep::http1
