#include "libraries/http1/client_connection.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace burdockstep::http1 {

namespace {

constexpr int first_final_status = 200;

bool method_has_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

client_connection::client_connection(event_loop& loop, clock_source const& clock,
                                     client_limits const& limits, owner& its_owner, address to)
    : clock_(clock), limits_(limits), owner_(its_owner), to_(to), socket_(loop, *this),
      reader_(message_role::answers, limits.head_bytes, *this), patience_(loop),
      kept_for_(limits.idle_timeout)
{}

void client_connection::start(call_number call, call_options options)
{
    call_ = call;
    options_ = std::move(options);
    result_ = {};
    result_.to = to_;
    result_.on_kept_connection = used_before_;
    if (connected_) {
        send_request();
        return;
    }
    connect_began_ = clock_.now();
    patience_.start_once(options_->connect_timeout, [this] { finish(call_end::not_connected); });
    socket_.connect(to_, limits_.unacknowledged_limit);
}

void client_connection::on_connected()
{
    connected_ = true;
    patience_.stop();
    result_.connecting = clock_.now() - connect_began_;
    if (options_)
        send_request();
}

void client_connection::send_request()
{
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", options_->method, options_->target);
    for (http_header const& each : options_->headers)
        fmt::format_to(std::back_inserter(bytes), "{}: {}\r\n", each.name, each.value);
    if (!options_->headers.contains("host"))
        fmt::format_to(std::back_inserter(bytes), "host: {}\r\n", to_.text());
    if (!options_->body.empty() || method_has_body(options_->method))
        fmt::format_to(std::back_inserter(bytes), "content-length: {}\r\n", options_->body.size());
    bytes += "\r\n";
    bytes += options_->body;
    options_->body.clear();
    reader_.set_bodiless(options_->method == "HEAD");
    socket_.write(std::move(bytes));
    watch_for_answer();
}

void client_connection::watch_for_answer()
{
    if (options_->answer_timeout > duration::zero())
        patience_.start_once(options_->answer_timeout, [this] { finish(call_end::broken); });
}

void client_connection::on_bytes(std::string_view bytes)
{
    if (!options_) {
        owner_.take_idle_end(*this);
        return;
    }
    watch_for_answer();
    bool const readable = reader_.read(bytes);
    if (!readable && options_)
        finish(call_end::broken);
    else if (!options_ && (!readable || got_unasked_))
        owner_.take_idle_end(*this);
}

bool client_connection::is_own_answer(message_head const& head) const
{
    if (options_->answer_id.name.empty())
        return true;
    if (!head.headers.contains(options_->answer_id.name))
        return !used_before_;
    return head.headers.find(options_->answer_id.name) == options_->answer_id.value;
}

void client_connection::on_head(message_head head)
{
    // A head without a request is an answer that nobody asked for.
    got_unasked_ = !options_;
    skipping_ = !options_ || head.status < first_final_status || !is_own_answer(head);
    if (skipping_) {
        if (options_ && head.status >= first_final_status) {
            has_skipped_ = true;
            owner_.count_skipped_answer();
        }
        return;
    }
    note_keep_alive(head);
    result_.head = std::move(head);
}

void client_connection::note_keep_alive(message_head const& head)
{
    std::string_view const value = head.headers.find("keep-alive");
    constexpr std::string_view key = "timeout=";
    auto const at = value.find(key);
    int seconds = 0;
    if (at == std::string_view::npos)
        return;
    char const* const first = value.data() + at + key.size();
    if (std::from_chars(first, value.data() + value.size(), seconds).ec != std::errc{})
        return;
    duration const announced = std::chrono::seconds(seconds) - limits_.keep_alive_margin;
    kept_for_ = std::clamp(announced, duration::zero(), limits_.idle_timeout);
}

void client_connection::on_body(std::string_view bytes)
{
    if (skipping_ || !options_)
        return;
    if (result_.body.size() + bytes.size() > limits_.body_bytes) {
        finish(call_end::broken);
        return;
    }
    result_.body.append(bytes);
}

void client_connection::on_message_end()
{
    if (skipping_ || !options_)
        return;
    finish(call_end::complete);
}

void client_connection::on_stream_end(stream_end end)
{
    if (!options_) {
        owner_.take_idle_end(*this);
        return;
    }
    result_.connection_was_reset = end == stream_end::reset;
    if (!connected_) {
        finish(call_end::not_connected);
        return;
    }
    // Only an orderly close can end an answer that has no length. It may call on_message_end.
    connected_ = false;
    if (end == stream_end::closed && reader_.is_inside_message())
        reader_.read_end();
    if (options_)
        finish(call_end::broken);
}

void client_connection::finish(call_end end)
{
    patience_.stop();
    options_.reset();
    used_before_ = true;
    idle_since_ = clock_.now();
    expires_ = idle_since_ + kept_for_;
    bool const whole = end == call_end::complete && connected_ && result_.head.keep_alive;
    bool const reusable = whole && !retired_ && !has_skipped_ && socket_.unsent_bytes() == 0;
    if (!reusable)
        reader_.stop();
    result_.end = end;
    owner_.take_result(*this, std::move(result_), reusable);
}

} // namespace burdockstep::http1
