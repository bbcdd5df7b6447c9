#include "libraries/http1/client_connection.hpp"

#include "libraries/core/digest.hpp"

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
                                     client_limits const& limits, memory_budget& budget,
                                     owner& connection_owner, address to)
    : clock_(clock), limits_(limits), owner_(connection_owner), to_(to),
      socket_(loop, *this, budget), reader_(message_kind::answers, limits.max_head_bytes, *this),
      timeout_timer_(loop), call_timer_(loop), keep_alive_time_(limits.idle_timeout)
{
    reader_.set_max_fields(limits.max_head_fields);
}

void client_connection::start(call_number call, call_options options)
{
    call_ = call;
    options_ = std::move(options);
    result_ = {};
    answer_charge_ = socket_.make_charge();
    result_.to = to_;
    result_.on_reused_connection = has_ended_a_call_;
    on_any_head_ = options_->on_any_head;
    call_bytes_ = 0;
    call_body_bytes_ = 0;
    if (!options_->answer_id.name.empty())
        carried_ids_.insert(hash_of(options_->answer_id.value));
    if (options_->call_timeout > duration::zero())
        call_timer_.start_once(options_->call_timeout, [this] { break_call(); });
    if (connected_) {
        send_request();
        return;
    }
    connect_started_at_ = clock_.now();
    timeout_timer_.start_once(options_->connect_timeout,
                              [this] { end_call(call_end::not_connected); });
    socket_.connect(to_, limits_.unacknowledged_timeout);
}

void client_connection::on_connected()
{
    connected_ = true;
    timeout_timer_.stop();
    result_.connect_time = clock_.now() - connect_started_at_;
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
    reader_.set_expects_no_body(options_->method == "HEAD");
    socket_.write(std::move(bytes), std::exchange(options_->body, {}));
    restart_answer_timeout();
}

void client_connection::restart_answer_timeout()
{
    if (options_->answer_timeout > duration::zero())
        timeout_timer_.start_once(options_->answer_timeout, [this] { end_call(call_end::broken); });
}

void client_connection::on_bytes(std::string_view bytes)
{
    if (!options_) {
        owner_.on_idle_connection_end(*this);
        return;
    }
    call_bytes_ += bytes.size();
    if (call_bytes_ > limits_.max_call_bytes) {
        break_over_limit(answer_limit::call);
        return;
    }
    restart_answer_timeout();
    bool const readable = reader_.read(bytes);
    bool const has_too_much_framing = call_bytes_ - call_body_bytes_ > limits_.max_framing_bytes;
    if (!readable && options_)
        break_over_limit(reader_.fault() == read_fault::head_too_large ? answer_limit::head
                                                                       : answer_limit::none);
    else if (has_too_much_framing && options_)
        break_over_limit(answer_limit::framing);
    else if (options_ && !answer_charge_.try_resize(answer_bytes()))
        drop_answer();
    else if (!options_ && (!readable || got_unrequested_answer_ || reader_.is_inside_message()))
        owner_.on_idle_connection_end(*this);
}

std::size_t client_connection::answer_bytes() const
{
    return result_.body.size() + result_.head.memory_bytes() + reader_.memory_bytes();
}

void client_connection::drop_answer()
{
    owner_.on_answer_dropped();
    reader_.discard();
    end_call(call_end::answer_dropped);
}

void client_connection::on_give_up()
{
    if (options_)
        drop_answer();
    else
        owner_.on_idle_connection_end(*this);
}

bool client_connection::has_carried(http_header const& answer_id) const
{
    return !answer_id.name.empty() && carried_ids_.contains(hash_of(answer_id.value));
}

bool client_connection::is_own_answer(message_head const& head) const
{
    if (options_->answer_id.name.empty())
        return true;
    return head.headers.find(options_->answer_id.name) == options_->answer_id.value;
}

void client_connection::on_head(message_head head)
{
    if (on_any_head_ && head.status >= first_final_status)
        on_any_head_(head);
    // Without a call under way, this answer belongs to no request.
    got_unrequested_answer_ = !options_;
    skipping_answer_ = !options_ || head.status < first_final_status || !is_own_answer(head);
    if (skipping_answer_) {
        if (options_ && head.status >= first_final_status) {
            has_skipped_answer_ = true;
            owner_.on_answer_skipped();
        }
        return;
    }
    apply_keep_alive_header(head);
    result_.head = std::move(head);
}

void client_connection::apply_keep_alive_header(message_head const& head)
{
    std::string_view const value = head.headers.find("keep-alive");
    constexpr std::string_view key = "timeout=";
    auto const key_position = value.find(key);
    int seconds = 0;
    if (key_position == std::string_view::npos)
        return;
    char const* const first = value.data() + key_position + key.size();
    if (std::from_chars(first, value.data() + value.size(), seconds).ec != std::errc{})
        return;
    duration const time_to_keep = std::chrono::seconds(seconds) - limits_.keep_alive_margin;
    keep_alive_time_ = std::clamp(time_to_keep, duration::zero(), limits_.idle_timeout);
}

void client_connection::on_body(std::string_view bytes)
{
    call_body_bytes_ += bytes.size();
    if (skipping_answer_ || !options_)
        return;
    if (result_.body.size() + bytes.size() > limits_.max_body_bytes) {
        break_over_limit(answer_limit::body);
        return;
    }
    append_to_body(result_.body, bytes, result_.head.content_length, limits_.max_body_bytes);
    owner_.on_body_growth(*this, bytes.size());
}

void client_connection::on_message_end()
{
    if (skipping_answer_ || !options_)
        return;
    end_call(call_end::complete);
}

void client_connection::on_stream_end(stream_end end)
{
    if (!options_) {
        owner_.on_idle_connection_end(*this);
        return;
    }
    result_.connection_was_reset = end == stream_end::reset;
    if (!connected_) {
        end_call(call_end::not_connected);
        return;
    }
    // An answer without a length ends at an orderly close. read_end then calls on_message_end.
    connected_ = false;
    if (end == stream_end::closed && reader_.is_inside_message())
        reader_.read_end();
    if (options_)
        end_call(call_end::broken);
}

void client_connection::break_over_limit(answer_limit limit)
{
    result_.exceeded = limit;
    end_call(call_end::broken);
}

void client_connection::break_call()
{
    if (options_)
        end_call(connected_ ? call_end::broken : call_end::not_connected);
}

void client_connection::abandon()
{
    options_.reset();
    on_any_head_ = nullptr;
    timeout_timer_.stop();
    call_timer_.stop();
    reader_.stop();
}

void client_connection::end_call(call_end end)
{
    timeout_timer_.stop();
    call_timer_.stop();
    options_.reset();
    has_ended_a_call_ = true;
    idle_since_ = clock_.now();
    expires_at_ = idle_since_ + keep_alive_time_;
    bool const connection_stays_open =
        end == call_end::complete && connected_ && result_.head.keep_alive;
    bool const reusable = connection_stays_open && !reuse_disallowed_ && !has_skipped_answer_ &&
                          carried_ids_.size() < limits_.max_ids_per_connection &&
                          socket_.unsent_bytes() == 0;
    if (!reusable) {
        reader_.stop();
        socket_.stop_reading();
    }
    result_.end = end;
    if (!result_.body.empty()) {
        answer_charge_.resize(result_.body.size());
        result_.charge = std::make_shared<memory_charge>(std::move(answer_charge_));
    }
    answer_charge_ = {};
    owner_.on_call_end(*this, std::move(result_), reusable);
}

} // namespace burdockstep::http1
