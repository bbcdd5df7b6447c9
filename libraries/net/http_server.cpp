#include "libraries/net/http_server.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

constexpr int status_version_not_supported = 505;
/// Few callers send requests ahead. Each of them may open a connection to an upstream.
constexpr std::size_t max_pipelined_requests = 4;

http1::server_limits make_server_limits(http_server_limits const& limits)
{
    return {.max_body_bytes = limits.max_body_bytes,
            .request_stall_timeout = limits.request_read_timeout,
            .idle_timeout = limits.request_read_timeout,
            .max_pipelined = max_pipelined_requests};
}

http_request make_request(http1::server_request const& received)
{
    std::string_view const target = received.head.target;
    auto const question = std::min(target.find('?'), target.size());
    return {.method = received.head.method,
            .path = std::string(target.substr(0, question)),
            .query = std::string(target.substr(std::min(question + 1, target.size()))),
            .headers = received.head.headers,
            .body = received.body};
}

/// True for headers that the connection sets itself.
bool is_connection_header(std::string_view name)
{
    return name == "connection" || name == "transfer-encoding" || name == "content-length" ||
           name == "keep-alive" || name == "upgrade";
}

/// An exchange of the HTTP/1.1 server, seen as a streamed one.
class streamed_exchange final : public http_exchange
{
public:
    streamed_exchange(std::shared_ptr<http1::exchange> exchange)
        : exchange_(std::move(exchange)), request_(make_request(exchange_->request()))
    {}

    http_request const& request() const override { return request_; }
    address peer() const override { return exchange_->peer(); }
    std::uint64_t connection() const override { return exchange_->connection_number(); }
    bool is_disconnected() const override { return exchange_->is_disconnected(); }

    void on_disconnect(std::function<void()> handler) override
    {
        if (handler == nullptr)
            exchange_->on_disconnect(nullptr);
        else
            exchange_->on_disconnect(
                [handler = std::move(handler)](http1::connection_end) { handler(); });
    }

    void on_writable(std::function<void()> handler) override
    {
        exchange_->on_writable(std::move(handler));
    }

    void start(http_head const& head) override
    {
        http1::streamed_answer_head answer_head{
            .status = head.status, .headers = {}, .content_length = head.content_length};
        for (http_header const& each : head.headers) {
            if (!is_connection_header(each.name))
                answer_head.headers.add(each.name, each.value);
        }
        exchange_->start(std::move(answer_head));
    }

    bool write(std::string_view bytes) override { return exchange_->write(bytes); }
    void finish() override { exchange_->finish(); }
    void abort() override { exchange_->break_off(); }

    void reply(int status, http_headers const& headers, std::string_view body) override
    {
        exchange_->reply({.status = status, .headers = headers, .body = std::string(body)});
    }

private:
    std::shared_ptr<http1::exchange> exchange_;
    http_request request_;
};

} // namespace

http_server::http_server(event_loop& loop, http_server_limits limits)
    : budget_(std::make_shared<http1::memory_budget>(http1::memory_budget_options{
          .max_bytes = limits.max_held_bytes,
          .max_connections = limits.max_connections,
          .max_connections_to_accept = limits.max_connections,
          .replaces_oldest_connection = limits.replaces_oldest_connection})),
      sample_timer_(loop), server_(loop, clock_, make_server_limits(limits), budget_)
{
    sample_timer_.start_periodic(
        std::chrono::milliseconds(http1::memory_budget::sample_interval_ms),
        [this] { budget_->sample(); });
}

http_server::~http_server() = default;

result<address> http_server::try_listen(address const& at, handler on_request)
{
    return server_.try_listen(
        at, [on_request = std::move(on_request)](std::shared_ptr<http1::exchange> const& received) {
            auto exchange = std::make_shared<streamed_exchange>(received);
            if (received->request().head.is_http_1_0) {
                // HTTP/1.0 has no chunked encoding, so a truncated streamed answer would look
                // complete.
                exchange->reply(status_version_not_supported, {{"content-type", "text/plain"}},
                                "HTTP/1.0 is not served; use HTTP/1.1\n");
                return;
            }
            on_request(std::move(exchange));
        });
}

void http_server::close_connections_after_answers()
{
    server_.close_after_answers();
}

std::size_t http_server::exchanges_in_flight() const
{
    return server_.unanswered_requests() + (server_.unsent_bytes() > 0 ? 1 : 0);
}

std::size_t http_server::connections() const
{
    return server_.open_connections();
}

} // namespace burdockstep
