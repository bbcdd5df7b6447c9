#include "libraries/net/http_client.hpp"

#include "libraries/core/log.hpp"
#include "libraries/net/active_call.hpp"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockstep {

namespace {

/// Each call under way has a buffer in each direction.
constexpr long call_buffer_bytes = 16L * 1024;
/// Return value of libcurl's callbacks for data that breaks the call.
constexpr std::size_t abort_call = 0;

long to_milliseconds(duration span)
{
    auto const rounded_up_ms = std::chrono::ceil<std::chrono::milliseconds>(span).count();
    return static_cast<long>(std::max<std::int64_t>(rounded_up_ms, 1));
}

struct socket_watch
{
    uv_poll_t poll{};
    curl_socket_t socket{};
    http_client::implementation* owner = nullptr;
};

} // namespace

struct http_client::implementation
{
    implementation(event_loop& event_loop, http_client_limits const& new_limits)
        : loop(event_loop), multi_handle(curl_multi_init()), curl_timer(event_loop),
          call_check_timer(event_loop), limits(new_limits)
    {
        curl_multi_setopt(multi_handle, CURLMOPT_SOCKETFUNCTION, &implementation::on_socket);
        curl_multi_setopt(multi_handle, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_handle, CURLMOPT_TIMERFUNCTION, &implementation::on_timer);
        curl_multi_setopt(multi_handle, CURLMOPT_TIMERDATA, this);
        auto const max_connections = static_cast<long>(limits.max_connections);
        curl_multi_setopt(multi_handle, CURLMOPT_MAXCONNECTS, max_connections);
        curl_multi_setopt(multi_handle, CURLMOPT_MAX_TOTAL_CONNECTIONS, max_connections);
        curl_multi_setopt(multi_handle, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        constexpr duration call_check_interval = std::chrono::milliseconds(20);
        call_check_timer.start_periodic(call_check_interval, [this] { check_calls(); });
    }

    ~implementation()
    {
        std::vector<call_number> numbers;
        for (auto const& [number, call] : calls)
            numbers.push_back(number);
        for (call_number const number : numbers)
            remove_call(number);
        curl_multi_cleanup(multi_handle);
    }

    static int on_socket(CURL*, curl_socket_t socket, int requested_events, void* user_data,
                         void* socket_data)
    {
        auto* const self = static_cast<implementation*>(user_data);
        auto* watch = static_cast<socket_watch*>(socket_data);
        if (requested_events == CURL_POLL_REMOVE) {
            if (watch != nullptr)
                self->end_watch(watch);
            return 0;
        }
        if (watch == nullptr)
            watch = self->start_watch(socket);
        int events = 0;
        if ((requested_events & CURL_POLL_IN) != 0)
            events |= UV_READABLE;
        if ((requested_events & CURL_POLL_OUT) != 0)
            events |= UV_WRITABLE;
        uv_poll_start(&watch->poll, events, [](uv_poll_t* poll, int status, int ready) {
            auto const* const ready_watch = static_cast<socket_watch*>(poll->data);
            int curl_events = 0;
            if (status < 0)
                curl_events = CURL_CSELECT_ERR;
            if ((ready & UV_READABLE) != 0)
                curl_events |= CURL_CSELECT_IN;
            if ((ready & UV_WRITABLE) != 0)
                curl_events |= CURL_CSELECT_OUT;
            ready_watch->owner->run_socket_action(ready_watch->socket, curl_events);
        });
        return 0;
    }

    socket_watch* start_watch(curl_socket_t socket)
    {
        auto* const watch = new socket_watch;
        watch->socket = socket;
        watch->owner = this;
        watch->poll.data = watch;
        uv_poll_init_socket(loop.raw(), &watch->poll, socket);
        curl_multi_assign(multi_handle, socket, watch);
        return watch;
    }

    void end_watch(socket_watch* watch)
    {
        uv_poll_stop(&watch->poll);
        curl_multi_assign(multi_handle, watch->socket, nullptr);
        uv_close(reinterpret_cast<uv_handle_t*>(&watch->poll),
                 [](uv_handle_t* handle) { delete static_cast<socket_watch*>(handle->data); });
    }

    static int on_timer(CURLM*, long milliseconds, void* user_data)
    {
        auto* const self = static_cast<implementation*>(user_data);
        if (milliseconds < 0) {
            self->curl_timer.stop();
            return 0;
        }
        self->curl_timer.start_once(std::chrono::milliseconds(milliseconds),
                                    [self] { self->run_socket_action(CURL_SOCKET_TIMEOUT, 0); });
        return 0;
    }

    void run_socket_action(curl_socket_t socket, int curl_events)
    {
        int running = 0;
        ++curl_call_depth;
        curl_multi_socket_action(multi_handle, socket, curl_events, &running);
        --curl_call_depth;
        report_ended_calls();
    }

    /// Reports ended calls, then removes calls that were cancelled during libcurl callbacks. Does
    /// nothing while libcurl is on the stack.
    void report_ended_calls()
    {
        if (curl_call_depth > 0)
            return;
        int messages_left = 0;
        while (CURLMsg* const message = curl_multi_info_read(multi_handle, &messages_left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            active_call* call = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
            end_call(*call, message->data.result);
        }
        for (call_number const number : std::exchange(cancelled_calls, {}))
            remove_call(number);
    }

    void end_call(active_call& call, CURLcode code)
    {
        note_exceeded_limit(call);
        call_end const end = classify_end(call, code);
        call_listener* const listener = call.listener;
        remove_call(call.number);
        if (listener != nullptr)
            listener->on_done(end);
    }

    static call_end classify_end(active_call const& call, CURLcode code)
    {
        if (code == CURLE_OK)
            return call.body_is_undelimited ? call_end::broken : call_end::complete;
        if (code == CURLE_COULDNT_CONNECT)
            return call_end::not_connected;
        long request_bytes_sent = 0;
        curl_easy_getinfo(call.transfer, CURLINFO_REQUEST_SIZE, &request_bytes_sent);
        curl_off_t pretransfer_time_us = 0;
        curl_easy_getinfo(call.transfer, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_time_us);
        if (code == CURLE_OPERATION_TIMEDOUT)
            return request_bytes_sent == 0 && pretransfer_time_us == 0 ? call_end::not_connected
                                                                       : call_end::timed_out;
        return call_end::broken;
    }

    void remove_call(call_number number)
    {
        auto const found = calls.find(number);
        if (found == calls.end())
            return;
        std::unique_ptr<active_call> const call = std::move(found->second);
        calls.erase(found);
        if (call->collects_body)
            collected_bytes -= call->body_bytes;
        curl_multi_remove_handle(multi_handle, call->transfer);
        curl_easy_cleanup(call->transfer);
        curl_slist_free_all(call->headers);
        curl_slist_free_all(call->connect_to_rules);
    }

    void check_calls()
    {
        time_point const now = clock.now();
        std::vector<std::pair<call_number, call_end>> ended;
        for (auto const& [number, call] : calls) {
            if (call->listener == nullptr)
                continue;
            if (call->has_too_much_framing(limits)) {
                call->exceeded = http1::answer_limit::framing;
                ended.emplace_back(number, call_end::broken);
            }
            else if (call->is_stalled(now)) {
                ended.emplace_back(number, call_end::timed_out);
            }
        }
        for (auto const& [number, end] : ended) {
            auto const found = calls.find(number);
            if (found == calls.end() || found->second->listener == nullptr)
                continue;
            note_exceeded_limit(*found->second);
            call_listener* const listener = found->second->listener;
            remove_call(number);
            listener->on_done(end);
        }
    }

    void note_exceeded_limit(active_call const& call)
    {
        if (call.exceeded == http1::answer_limit::none)
            return;
        ++calls_broken.at(static_cast<std::size_t>(call.exceeded));
        log.warning("an answer exceeds a limit; the call is broken",
                    {field("from", call.to.text()), field("limit", http1::name_of(call.exceeded))});
    }

    /// libcurl shows here what has arrived of a body before it removes the framing of chunks, which
    /// it reports nowhere else. The call can't be ended here.
    static int on_debug(CURL*, curl_infotype type, char*, std::size_t size, void* user_data)
    {
        if (type == CURLINFO_DATA_IN)
            static_cast<active_call*>(user_data)->received_body_bytes += size;
        return 0;
    }

    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user_data)
    {
        auto* const call = static_cast<active_call*>(user_data);
        call->last_received_at = call->owner->clock.now();
        call->head_bytes += size * count;
        // libcurl keeps all lines, those of a trailer without any limit of its own.
        if (call->head_bytes > call->owner->limits.max_head_bytes) {
            call->exceeded = http1::answer_limit::head;
            return abort_call;
        }
        if (call->has_final_head)
            return size * count;
        bool const complete = call->parser.add(std::string_view(data, size * count));
        call->has_final_head = complete;
        if (complete && call->listener != nullptr) {
            http_head const& head = call->parser.head();
            call->body_is_undelimited = !head.delimited;
            call->listener->on_head(head);
        }
        return size * count;
    }

    static std::size_t on_write(char* data, std::size_t size, std::size_t count, void* user_data)
    {
        auto* const call = static_cast<active_call*>(user_data);
        call->last_received_at = call->owner->clock.now();
        if (call->listener == nullptr)
            return size * count;
        if (call->body_bytes + size * count > call->max_body_bytes)
            call->exceeded = http1::answer_limit::body;
        else if (call->collects_body && !call->owner->has_room_for(*call, size * count))
            call->exceeded = http1::answer_limit::together;
        else if (call->has_tiny_chunks(call->owner->limits))
            call->exceeded = http1::answer_limit::framing;
        if (call->exceeded != http1::answer_limit::none)
            return abort_call;
        if (call->listener->on_body(std::string_view(data, size * count))) {
            call->body_bytes += size * count;
            if (call->collects_body)
                call->owner->collected_bytes += size * count;
            ++call->body_parts;
            return size * count;
        }
        call->body_is_paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }

    bool has_room_for(active_call const& call, std::size_t added_bytes) const
    {
        bool const is_only_one = collected_bytes == call.body_bytes;
        return is_only_one || collected_bytes + added_bytes <= limits.max_collected_bytes;
    }

    void configure(active_call& call, call_options const& options)
    {
        CURL* const transfer = call.transfer;
        set_target(call, options);
        curl_easy_setopt(transfer, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(transfer, CURLOPT_PROXY, "");
        curl_easy_setopt(transfer, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(transfer, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(transfer, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(transfer, CURLOPT_CUSTOMREQUEST, options.method.c_str());
        if (options.method == "HEAD")
            curl_easy_setopt(transfer, CURLOPT_NOBODY, 1L);
        curl_easy_setopt(transfer, CURLOPT_TIMEOUT_MS, to_milliseconds(options.deadline));
        curl_easy_setopt(transfer, CURLOPT_CONNECTTIMEOUT_MS,
                         to_milliseconds(options.connect_timeout));
        curl_easy_setopt(transfer, CURLOPT_BUFFERSIZE, call_buffer_bytes);
        curl_easy_setopt(transfer, CURLOPT_UPLOAD_BUFFERSIZE, call_buffer_bytes);
        curl_easy_setopt(transfer, CURLOPT_FRESH_CONNECT, options.fresh_connection ? 1L : 0L);
        if (!options.local_ip.empty())
            curl_easy_setopt(transfer, CURLOPT_INTERFACE, options.local_ip.c_str());
        curl_easy_setopt(transfer, CURLOPT_HEADERFUNCTION, &implementation::on_header);
        curl_easy_setopt(transfer, CURLOPT_HEADERDATA, &call);
        curl_easy_setopt(transfer, CURLOPT_WRITEFUNCTION, &implementation::on_write);
        curl_easy_setopt(transfer, CURLOPT_WRITEDATA, &call);
        curl_easy_setopt(transfer, CURLOPT_VERBOSE, 1L);
        curl_easy_setopt(transfer, CURLOPT_DEBUGFUNCTION, &implementation::on_debug);
        curl_easy_setopt(transfer, CURLOPT_DEBUGDATA, &call);
        curl_easy_setopt(transfer, CURLOPT_PRIVATE, &call);
        set_body(call, options);
    }

    void set_target(active_call& call, call_options const& options)
    {
        std::string host = options.to.text();
        auto const generation = connection_generations.find(options.to);
        if (generation != connection_generations.end()) {
            // libcurl looks up pooled connections by host name. A new name for the same address
            // prevents the reuse of older connections.
            std::string const name =
                fmt::format("g{}.{}", generation->second, options.to.ip_text());
            std::string const rule = fmt::format("{}:{}:{}", name, options.to.port, host);
            call.connect_to_rules = curl_slist_append(nullptr, rule.c_str());
            curl_easy_setopt(call.transfer, CURLOPT_CONNECT_TO, call.connect_to_rules);
            call.headers = curl_slist_append(call.headers, fmt::format("host: {}", host).c_str());
            host = fmt::format("{}:{}", name, options.to.port);
        }
        std::string const url = fmt::format("http://{}{}", host, options.path);
        curl_easy_setopt(call.transfer, CURLOPT_URL, url.c_str());
    }

    static void set_body(active_call& call, call_options const& options)
    {
        call.body = options.body;
        bool const has_body =
            !call.body.empty() || options.method == "POST" || options.method == "PUT";
        if (has_body) {
            curl_easy_setopt(call.transfer, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(call.transfer, CURLOPT_POSTFIELDS, call.body.bytes().data());
        }
        for (http_header const& each : options.headers)
            call.headers = curl_slist_append(call.headers,
                                             fmt::format("{}: {}", each.name, each.value).c_str());
        call.headers = curl_slist_append(call.headers, "expect:");
        if (has_body && !options.headers.contains("content-type"))
            call.headers =
                curl_slist_append(call.headers, "content-type: application/octet-stream");
        curl_easy_setopt(call.transfer, CURLOPT_HTTPHEADER, call.headers);
    }

    event_loop& loop;
    CURLM* multi_handle;
    timer curl_timer;
    timer call_check_timer;
    http_client_limits limits;
    logger log{"http-client"};
    std::array<std::uint64_t, http1::answer_limit_count> calls_broken{};
    system_clock_source clock;
    std::unordered_map<call_number, std::unique_ptr<active_call>> calls;
    std::vector<call_number> cancelled_calls;
    std::size_t collected_bytes = 0; ///< Of the calls that collect their bodies.
    /// Number of times that the pooled connections to an address were abandoned.
    std::map<address, unsigned> connection_generations;
    call_number next_call_number = 1;
    int curl_call_depth = 0;
};

http_client::http_client(event_loop& loop, http_client_limits limits)
    : implementation_(std::make_unique<implementation>(loop, limits))
{}

http_client::~http_client() = default;

call_number http_client::start(call_options const& options, call_listener& listener)
{
    implementation& self = *implementation_;
    auto call = std::make_unique<active_call>();
    call->owner = &self;
    call->number = self.next_call_number++;
    call->transfer = curl_easy_init();
    call->listener = &listener;
    call->to = options.to;
    call->max_body_bytes = options.max_body_bytes;
    call->collects_body = options.collects_body;
    call->stall_timeout = options.stall_timeout;
    call->last_received_at = self.clock.now();
    self.configure(*call, options);
    call_number const number = call->number;
    CURL* const transfer = call->transfer;
    self.calls.emplace(number, std::move(call));
    curl_multi_add_handle(self.multi_handle, transfer);
    return number;
}

void http_client::cancel(call_number number)
{
    implementation& self = *implementation_;
    auto const found = self.calls.find(number);
    if (found == self.calls.end())
        return;
    found->second->listener = nullptr;
    if (self.curl_call_depth > 0) {
        self.cancelled_calls.push_back(number);
        return;
    }
    self.remove_call(number);
}

void http_client::abandon_pooled_connections(address const& to)
{
    ++implementation_->connection_generations[to];
}

std::uint64_t http_client::broken_by(http1::answer_limit limit) const
{
    return implementation_->calls_broken.at(static_cast<std::size_t>(limit));
}

void http_client::resume(call_number number)
{
    implementation& self = *implementation_;
    auto const found = self.calls.find(number);
    if (found == self.calls.end() || !found->second->body_is_paused)
        return;
    found->second->body_is_paused = false;
    found->second->last_received_at = self.clock.now();
    CURL* const transfer = found->second->transfer;
    ++self.curl_call_depth;
    curl_easy_pause(transfer, CURLPAUSE_CONT);
    --self.curl_call_depth;
    // Posted, so that listeners aren't called from within `resume`.
    self.loop.post([&self] { self.report_ended_calls(); });
}

} // namespace burdockstep
