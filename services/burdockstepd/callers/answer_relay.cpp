#include "services/burdockstepd/callers/answer_relay.hpp"

#include <utility>

namespace burdockstep {

namespace {

constexpr std::size_t largest_kept_body = 4'096;
constexpr int status_unavailable = 503;

answer_head_kind kind_of(http_head const& head)
{
    std::string_view const outcome = head.headers.find(header::outcome);
    bool const refused =
        head.status == status_unavailable && head.headers.contains(header::not_run);
    if (refused || outcome == "not-run")
        return answer_head_kind::not_run;
    if (outcome == "unknown")
        return answer_head_kind::unknown;
    return answer_head_kind::answer;
}

} // namespace

answer_relay::answer_relay(request_id id, std::shared_ptr<http_exchange> exchange,
                           http_client& client, relay_owner& owner)
    : id_(id), exchange_(std::move(exchange)), client_(client), owner_(owner)
{}

answer_relay::~answer_relay()
{
    if (running_)
        client_.cancel(call_);
}

void answer_relay::start(call_options const& options)
{
    running_ = true;
    call_ = client_.start(options, *this);
}

void answer_relay::note_caller_gone()
{
    writes_blocked_ = false;
    if (running_)
        client_.resume(call_);
}

http_head answer_relay::answer_head(http_head const& head) const
{
    http_head forwarded;
    forwarded.status = head.status;
    forwarded.content_length = head.content_length;
    forwarded.delimited = true;
    for (http_header const& each : head.headers) {
        bool const own = each.name == header::outcome || each.name == header::leaving ||
                         each.name == "server" || each.name == "date";
        if (!own)
            forwarded.headers.add(each.name, each.value);
    }
    forwarded.headers.add(header::outcome, "answered");
    return forwarded;
}

void answer_relay::on_head(http_head const& head)
{
    if (head.headers.contains(header::leaving))
        owner_.on_relay_leaving(id_);
    kept_.status = head.status;
    kept_.content_type = std::string(head.headers.find("content-type"));
    // Without a length or chunks a cut answer would look whole, so it isn't handed on.
    if (!head.delimited)
        return;
    forwarding_ = owner_.on_relay_head(id_, kind_of(head));
    if (!forwarding_)
        return;
    exchange_->start(answer_head(head));
    exchange_->on_writable([this] {
        writes_blocked_ = false;
        if (running_)
            client_.resume(call_);
    });
}

bool answer_relay::on_body(std::string_view bytes)
{
    if (!forwarding_)
        return true;
    if (writes_blocked_)
        return false;
    if (kept_.body.size() + bytes.size() <= largest_kept_body)
        kept_.body.append(bytes);
    else
        too_large_to_keep_ = true;
    writes_blocked_ = !exchange_->write(bytes);
    return true;
}

void answer_relay::on_done(call_end end)
{
    running_ = false;
    exchange_->on_writable(nullptr);
    send_end how = send_end::broken;
    if (end == call_end::complete)
        how = send_end::complete;
    if (end == call_end::not_connected)
        how = send_end::not_connected;
    std::optional<retained_answer> answer;
    if (how == send_end::complete && !too_large_to_keep_)
        answer = std::move(kept_);
    owner_.on_relay_end(id_, how, std::move(answer));
}

} // namespace burdockstep
