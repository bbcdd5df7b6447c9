#include "services/burdockstepd/callers/answer_relay.hpp"

#include <utility>

namespace burdockstep {

namespace {

constexpr std::size_t max_retained_body_bytes = 4'096;
constexpr int http_service_unavailable = 503;

answer_head_kind classify_answer_head(http_head const& head)
{
    std::string_view const outcome = head.headers.find(header::outcome);
    bool const is_refusal =
        head.status == http_service_unavailable && head.headers.contains(header::not_run);
    if (is_refusal || outcome == "not-run")
        return answer_head_kind::not_run;
    if (outcome == "unknown")
        return answer_head_kind::unknown;
    return answer_head_kind::answer;
}

} // namespace

answer_relay::answer_relay(request_id id, std::shared_ptr<http_exchange> exchange,
                           http_client& client, answer_relay_listener& listener)
    : id_(id), exchange_(std::move(exchange)), send_client_(client), listener_(listener)
{}

answer_relay::~answer_relay()
{
    if (send_in_progress_)
        send_client_.cancel(client_call_);
}

void answer_relay::start(call_options const& options)
{
    send_in_progress_ = true;
    client_call_ = send_client_.start(options, *this);
}

void answer_relay::stop_waiting_for_caller()
{
    writes_blocked_ = false;
    if (send_in_progress_)
        send_client_.resume(client_call_);
}

http_head answer_relay::make_caller_head(http_head const& head) const
{
    http_head caller_head;
    caller_head.status = head.status;
    caller_head.content_length = head.content_length;
    caller_head.delimited = true;
    for (http_header const& answer_header : head.headers) {
        bool const is_replaced = answer_header.name == header::outcome ||
                                 answer_header.name == header::leaving ||
                                 answer_header.name == "server" || answer_header.name == "date";
        if (!is_replaced)
            caller_head.headers.add(answer_header.name, answer_header.value);
    }
    caller_head.headers.add(header::outcome, "answered");
    return caller_head;
}

void answer_relay::on_head(http_head const& head)
{
    if (head.headers.contains(header::leaving))
        listener_.on_relay_target_leaving(id_);
    answer_to_retain_.status = head.status;
    answer_to_retain_.content_type = std::string(head.headers.find("content-type"));
    // Without a content length or chunked encoding, the caller could not tell a truncated answer
    // from a complete one, so the answer isn't forwarded.
    if (!head.delimited)
        return;
    forwards_answer_ = listener_.on_relay_answer_head(id_, classify_answer_head(head));
    if (!forwards_answer_)
        return;
    exchange_->start(make_caller_head(head));
    exchange_->on_writable([this] {
        writes_blocked_ = false;
        if (send_in_progress_)
            send_client_.resume(client_call_);
    });
}

bool answer_relay::on_body(std::string_view bytes)
{
    if (!forwards_answer_)
        return true;
    if (writes_blocked_)
        return false;
    if (answer_to_retain_.body.size() + bytes.size() <= max_retained_body_bytes)
        answer_to_retain_.body.append(bytes);
    else
        too_large_to_retain_ = true;
    writes_blocked_ = !exchange_->write(bytes);
    return true;
}

void answer_relay::on_done(call_end end)
{
    send_in_progress_ = false;
    exchange_->on_writable(nullptr);
    send_end send_result = send_end::broken;
    if (end == call_end::complete)
        send_result = send_end::complete;
    if (end == call_end::not_connected)
        send_result = send_end::not_connected;
    std::optional<retained_answer> answer;
    if (send_result == send_end::complete && !too_large_to_retain_)
        answer = std::move(answer_to_retain_);
    listener_.on_relay_send_ended(id_, send_result, std::move(answer));
}

} // namespace burdockstep
