#include "libraries/net/http_server.hpp"

#include <fmt/format.h>

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
}

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace burdockstep {

namespace {

/// Status of an answer that is given up before anything else has been said.
constexpr int status_bad_gateway = 502;
constexpr std::size_t write_high_water_bytes = std::size_t{64} * 1024;
constexpr duration disconnect_check_interval = std::chrono::milliseconds(50);
constexpr int listen_backlog = 1024;

std::string lower_case(char const* text, std::size_t size)
{
    std::string lowered(text, size);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

http_request read_request(h2o_req_t& h2o_request)
{
    http_request request;
    request.method.assign(h2o_request.method.base, h2o_request.method.len);
    std::string_view const target(h2o_request.path.base, h2o_request.path.len);
    auto const question = target.find('?');
    request.path = std::string(target.substr(0, question));
    if (question != std::string_view::npos)
        request.query = std::string(target.substr(question + 1));
    for (std::size_t i = 0; i < h2o_request.headers.size; ++i) {
        h2o_header_t const& header = h2o_request.headers.entries[i];
        request.headers.add(lower_case(header.name->base, header.name->len),
                            std::string(header.value.base, header.value.len));
    }
    if (h2o_request.entity.base != nullptr)
        request.body.assign(h2o_request.entity.base, h2o_request.entity.len);
    return request;
}

bool is_settable_header(std::string const& name)
{
    return name != "connection" && name != "transfer-encoding" && name != "content-length" &&
           name != "keep-alive" && name != "upgrade";
}

/// True if two parsers could frame the request differently (request smuggling). h2o discards the
/// length headers when it parses them, so this re-parses the head from the connection's buffer.
bool is_ambiguous(std::string_view input)
{
    std::string_view block = input.substr(0, input.find("\r\n\r\n"));
    unsigned length_header_count = 0;
    unsigned encoding_header_count = 0;
    bool is_start_line = true;
    while (!block.empty()) {
        auto const end = std::min(block.find('\n'), block.size());
        std::string_view const line = block.substr(0, end);
        block.remove_prefix(std::min(end + 1, block.size()));
        if (std::exchange(is_start_line, false))
            continue;
        auto const colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            return true;
        if (line.find_first_of(" \t") < colon)
            return true;
        std::string const name = lower_case(line.data(), colon);
        std::string_view value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
        value = value.substr(0, value.find_last_not_of(" \t\r") + 1);
        if (name == "content-length") {
            ++length_header_count;
            bool const is_number =
                !value.empty() && value.find_first_not_of("0123456789") == std::string_view::npos;
            if (!is_number)
                return true;
        }
        if (name == "transfer-encoding") {
            ++encoding_header_count;
            if (lower_case(value.data(), value.size()) != "chunked")
                return true;
        }
    }
    return length_header_count + encoding_header_count > 1;
}

/// One request of h2o. h2o may end its request before or after the handler releases the exchange:
/// the request's memory pool holds a reference to the exchange, and the exchange clears its pointer
/// when the request ends.
class h2o_exchange final : public http_exchange, public std::enable_shared_from_this<h2o_exchange>
{
public:
    h2o_exchange(h2o_req_t* h2o_request, std::size_t& in_flight)
        : h2o_request_(h2o_request), request_(read_request(*h2o_request)),
          connection_(h2o_request->conn->id), in_flight_(in_flight)
    {
        sockaddr_storage storage{};
        auto* const name = reinterpret_cast<sockaddr*>(&storage);
        h2o_request->conn->callbacks->get_peername(h2o_request->conn, name);
        peer_ = address::from_sockaddr(*name);
        ++in_flight_;
    }

    http_request const& request() const override { return request_; }
    address peer() const override { return peer_; }
    std::uint64_t connection() const override { return connection_; }
    bool is_disconnected() const override { return h2o_request_ == nullptr || disconnected_; }
    void on_disconnect(std::function<void()> handler) override
    {
        disconnect_handler_ = std::move(handler);
    }
    void on_writable(std::function<void()> handler) override
    {
        writable_handler_ = std::move(handler);
    }

    void start(http_head const& head) override
    {
        if (h2o_request_ == nullptr)
            return;
        h2o_request_->res.status = head.status;
        h2o_request_->res.reason = "-";
        if (head.content_length)
            h2o_request_->res.content_length = *head.content_length;
        for (http_header const& each : head.headers)
            add_header(each);
        answer_started_ = true;
        answer_generator_.base.proceed = [](h2o_generator_t* base, h2o_req_t*) {
            reinterpret_cast<answer_generator*>(base)->owner->proceed();
        };
        answer_generator_.base.stop = [](h2o_generator_t*, h2o_req_t*) {};
        answer_generator_.owner = this;
        h2o_start_response(h2o_request_, &answer_generator_.base);
    }

    bool write(std::string_view bytes) override
    {
        if (h2o_request_ == nullptr || end_requested_)
            return true;
        unsent_bytes_.append(bytes);
        flush();
        return unsent_bytes_.size() < write_high_water_bytes;
    }

    void finish() override { end_answer(H2O_SEND_STATE_FINAL); }
    void abort() override { end_answer(H2O_SEND_STATE_ERROR); }

    void reply(int status, http_headers const& headers, std::string_view body) override
    {
        start({.status = status,
               .headers = headers,
               .content_length = body.size(),
               .delimited = true});
        write(body);
        finish();
    }

    /// Called when h2o ends the request, because the answer is complete or the connection has
    /// ended.
    void release_request()
    {
        h2o_request_ = nullptr;
        --in_flight_;
        if (!answer_handed_over_)
            notify_disconnect();
    }

    /// Checks whether the caller closed the connection while it waits for the answer. h2o doesn't
    /// read from the connection until the answer is sent, so it would not notice.
    void detect_disconnect()
    {
        if (h2o_request_ == nullptr || answer_started_ || disconnected_)
            return;
        h2o_socket_t* const socket = h2o_request_->conn->callbacks->get_socket(h2o_request_->conn);
        char byte = 0;
        ssize_t const peek_result =
            recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool const closed =
            peek_result == 0 || (peek_result < 0 && errno != EAGAIN && errno != EINTR);
        if (closed)
            notify_disconnect();
    }

private:
    struct answer_generator
    {
        h2o_generator_t base{};
        h2o_exchange* owner = nullptr;
    };

    void add_header(http_header const& header)
    {
        if (!is_settable_header(header.name))
            return;
        h2o_iovec_t const name =
            h2o_strdup(&h2o_request_->pool, header.name.data(), header.name.size());
        h2o_iovec_t const value =
            h2o_strdup(&h2o_request_->pool, header.value.data(), header.value.size());
        h2o_add_header_by_str(&h2o_request_->pool, &h2o_request_->res.headers, name.base, name.len,
                              1, nullptr, value.base, value.len);
    }

    void end_answer(h2o_send_state_t state)
    {
        if (h2o_request_ == nullptr || end_requested_)
            return;
        // h2o ends only answers that have begun.
        if (!answer_started_)
            start({.status = status_bad_gateway,
                   .headers = {},
                   .content_length = 0,
                   .delimited = true});
        end_requested_ = true;
        final_state_ = state;
        flush();
    }

    void flush()
    {
        if (h2o_send_pending_ || h2o_request_ == nullptr)
            return;
        if (unsent_bytes_.empty() && !end_requested_)
            return;
        h2o_send_pending_ = true;
        bytes_being_sent_ = std::exchange(unsent_bytes_, {});
        h2o_iovec_t chunk = h2o_iovec_init(bytes_being_sent_.data(), bytes_being_sent_.size());
        std::size_t const chunks = bytes_being_sent_.empty() ? 0 : 1;
        if (!end_requested_) {
            h2o_send(h2o_request_, &chunk, chunks, H2O_SEND_STATE_IN_PROGRESS);
            return;
        }
        answer_handed_over_ = true;
        h2o_send(h2o_request_, &chunk, chunks, final_state_);
    }

    void proceed()
    {
        // Sending the last bytes may end the request and release h2o's reference to this object.
        auto const keep_alive = shared_from_this();
        h2o_send_pending_ = false;
        flush();
        if (!h2o_send_pending_ && !end_requested_ && writable_handler_)
            writable_handler_();
    }

    void notify_disconnect()
    {
        disconnected_ = true;
        writable_handler_ = nullptr;
        if (auto const handler = std::exchange(disconnect_handler_, nullptr))
            handler();
    }

    h2o_req_t* h2o_request_;
    http_request request_;
    address peer_;
    std::uint64_t connection_;
    std::size_t& in_flight_;
    answer_generator answer_generator_;
    std::function<void()> disconnect_handler_;
    std::function<void()> writable_handler_;
    std::string unsent_bytes_;
    std::string bytes_being_sent_; ///< Passed to h2o, which reads them until it calls `proceed`.
    h2o_send_state_t final_state_ = H2O_SEND_STATE_FINAL;
    bool answer_started_ = false;
    bool h2o_send_pending_ = false;
    bool end_requested_ = false;
    bool answer_handed_over_ = false;
    bool disconnected_ = false;
};

/// Allocated in the request's memory pool; h2o disposes of it when it ends the request.
struct pool_reference
{
    std::shared_ptr<h2o_exchange> exchange;
    std::unordered_set<h2o_exchange*>* open_exchanges = nullptr;
};

void dispose_pool_reference(void* memory)
{
    auto* const reference = static_cast<pool_reference*>(memory);
    reference->open_exchanges->erase(reference->exchange.get());
    reference->exchange->release_request();
    reference->~pool_reference();
}

} // namespace

struct http_server::implementation
{
    struct handler_binding
    {
        h2o_handler_t base;
        implementation* owner;
    };

    implementation(event_loop& event_loop, http_server_limits server_limits)
        : loop(event_loop), limits(server_limits), disconnect_check_timer(event_loop)
    {
        h2o_config_init(&configuration);
        configuration.server_name = h2o_iovec_init(H2O_STRLIT("burdockstep"));
        configuration.max_request_entity_size = limits.max_body_bytes;
        configuration.http1.req_timeout = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(limits.request_read_timeout)
                .count());
        configuration.http1.upgrade_to_http2 = 0;
        h2o_hostconf_t* const host =
            h2o_config_register_host(&configuration, h2o_iovec_init(H2O_STRLIT("default")), 65535);
        h2o_pathconf_t* const path = h2o_config_register_path(host, "/", 0);
        auto* const binding =
            reinterpret_cast<handler_binding*>(h2o_create_handler(path, sizeof(handler_binding)));
        binding->owner = this;
        binding->base.on_req = [](h2o_handler_t* base, h2o_req_t* request) {
            return reinterpret_cast<handler_binding*>(base)->owner->on_request(request);
        };
        h2o_context_init(&context, loop.raw(), &configuration);
        accept_context.ctx = &context;
        accept_context.hosts = configuration.hosts;
        disconnect_check_timer.start_periodic(disconnect_check_interval,
                                              [this] { detect_disconnects(); });
    }

    int on_request(h2o_req_t* request)
    {
        auto exchange = std::make_shared<h2o_exchange>(request, in_flight);
        void* const memory =
            h2o_mem_alloc_shared(&request->pool, sizeof(pool_reference), dispose_pool_reference);
        new (memory) pool_reference{.exchange = exchange, .open_exchanges = &open_exchanges};
        open_exchanges.insert(exchange.get());
        if (request->version < 0x101) {
            // HTTP/1.0 has no chunked encoding, so a truncated streamed answer would look complete.
            exchange->reply(505, {{"content-type", "text/plain"}},
                            "HTTP/1.0 is not served; use HTTP/1.1\n");
            return 0;
        }
        h2o_socket_t* const socket = request->conn->callbacks->get_socket(request->conn);
        if (is_ambiguous(std::string_view(socket->input->bytes, socket->input->size))) {
            request->http1_is_persistent = 0;
            exchange->reply(400, {{"content-type", "text/plain"}},
                            "ambiguous request; send one length, or chunks, and plain headers\n");
            return 0;
        }
        request_handler(std::move(exchange));
        return 0;
    }

    void detect_disconnects()
    {
        std::vector<h2o_exchange*> const exchanges_to_check(open_exchanges.begin(),
                                                            open_exchanges.end());
        for (h2o_exchange* const each : exchanges_to_check) {
            if (open_exchanges.contains(each))
                each->detect_disconnect();
        }
    }

    void accept_connection()
    {
        auto* const connection = static_cast<uv_tcp_t*>(h2o_mem_alloc(sizeof(uv_tcp_t)));
        uv_tcp_init(loop.raw(), connection);
        connection->data = this;
        if (uv_accept(reinterpret_cast<uv_stream_t*>(listener),
                      reinterpret_cast<uv_stream_t*>(connection)) != 0 ||
            connection_count >= limits.max_connections) {
            uv_close(reinterpret_cast<uv_handle_t*>(connection),
                     [](uv_handle_t* closed) { free(closed); });
            return;
        }
        uv_tcp_nodelay(connection, 1);
        ++connection_count;
        h2o_socket_t* const socket = h2o_uv_socket_create(
            reinterpret_cast<uv_stream_t*>(connection), [](uv_handle_t* closed) { free(closed); });
        socket->on_close.cb = [](void* data) {
            --static_cast<implementation*>(data)->connection_count;
        };
        socket->on_close.data = this;
        h2o_accept(&accept_context, socket);
    }

    event_loop& loop;
    http_server_limits limits;
    handler request_handler;
    timer disconnect_check_timer;
    h2o_globalconf_t configuration{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept_context{};
    uv_tcp_t* listener = nullptr;
    std::unordered_set<h2o_exchange*> open_exchanges;
    std::size_t in_flight = 0;
    std::size_t connection_count = 0;
};

http_server::http_server(event_loop& loop, http_server_limits limits)
    : implementation_(std::make_unique<implementation>(loop, limits))
{}

http_server::~http_server()
{
    if (implementation_->listener != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t*>(implementation_->listener),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    }
    // Leaked on purpose: open connections refer to the h2o context until the process ends.
    (void)implementation_.release();
}

result<address> http_server::try_listen(address const& at, handler on_request)
{
    implementation& self = *implementation_;
    self.request_handler = std::move(on_request);
    self.listener = new uv_tcp_t{};
    uv_tcp_init(self.loop.raw(), self.listener);
    self.listener->data = &self;
    sockaddr_in const requested_address = at.to_sockaddr();
    int code = uv_tcp_bind(self.listener, reinterpret_cast<sockaddr const*>(&requested_address), 0);
    if (code == 0) {
        code = uv_listen(reinterpret_cast<uv_stream_t*>(self.listener), listen_backlog,
                         [](uv_stream_t* listener, int status) {
                             if (status == 0)
                                 static_cast<implementation*>(listener->data)->accept_connection();
                         });
    }
    if (code != 0) {
        return fail(error_kind::invalid_input,
                    fmt::format("TCP address {} can't be bound ({}); free it or choose another",
                                at.text(), uv_strerror(code)));
    }
    sockaddr_storage bound_address{};
    int length = sizeof bound_address;
    uv_tcp_getsockname(self.listener, reinterpret_cast<sockaddr*>(&bound_address), &length);
    return address::from_sockaddr(reinterpret_cast<sockaddr const&>(bound_address));
}

void http_server::close_connections_after_answers()
{
    h2o_context_request_shutdown(&implementation_->context);
}

std::size_t http_server::exchanges_in_flight() const
{
    return implementation_->in_flight;
}

std::size_t http_server::connections() const
{
    return implementation_->connection_count;
}

} // namespace burdockstep
