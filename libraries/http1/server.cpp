#include "libraries/http1/server.hpp"

#include "libraries/http1/accept_pace.hpp"
#include "libraries/http1/server_connection.hpp"

#include "libraries/core/log.hpp"

#include <fmt/format.h>

#include <unordered_map>
#include <vector>

namespace burdockstep::http1 {

namespace {

constexpr int listen_backlog = 511;
/// Time limits are seconds long, so this resolution is enough.
constexpr duration time_limit_check_interval = std::chrono::milliseconds(500);
/// Where a new connection takes the place of an older one, each has at least this time to send a
/// request: longer than a peer in another region needs from its connection to its request.
constexpr duration min_stay_before_replacement = std::chrono::milliseconds(100);

/// Unsent bytes of the sockets that were accepted on a port.
struct unsent_bytes_of_port
{
    std::uint16_t port = 0;
    std::size_t total = 0;
};

void add_unsent_bytes(uv_handle_t* handle, void* argument)
{
    auto& sum = *static_cast<unsent_bytes_of_port*>(argument);
    if (handle->type != UV_TCP || uv_is_closing(handle) != 0)
        return;
    std::size_t const unsent =
        uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t*>(handle));
    if (unsent == 0)
        return;
    sockaddr_storage local_address{};
    int length = sizeof local_address;
    uv_tcp_getsockname(reinterpret_cast<uv_tcp_t*>(handle),
                       reinterpret_cast<sockaddr*>(&local_address), &length);
    if (address::from_sockaddr(reinterpret_cast<sockaddr const&>(local_address)).port == sum.port)
        sum.total += unsent;
}

} // namespace

char const* name_of(connection_end end)
{
    switch (end) {
    case connection_end::closed_by_caller:
        return "closed-by-caller";
    case connection_end::reset:
        return "reset";
    case connection_end::idle:
        return "idle";
    case connection_end::answered:
        return "answered";
    case connection_end::unreadable:
        return "unreadable";
    case connection_end::aborted:
        return "aborted";
    case connection_end::given_up:
        return "given-up";
    }
    return "unknown";
}

std::string_view reason_phrase(int status)
{
    char const* const phrase = http_status_str(static_cast<http_status>(status));
    return phrase;
}

struct server::state final : server_connection::owner, std::enable_shared_from_this<server::state>
{
    state(event_loop& loop, clock_source const& clock, server_limits limits,
          std::shared_ptr<memory_budget> budget)
        : loop_(loop), clock_(clock), limits_(limits), budget_(std::move(budget)),
          time_limit_timer_(loop),
          accept_pace_(budget_->replaceable_connections(), min_stay_before_replacement),
          accept_timer_(loop)
    {}

    void on_request(std::shared_ptr<exchange> each) override { handler_(std::move(each)); }

    void on_connection_closed(server_connection& connection, connection_end end,
                              std::size_t unanswered_requests) override
    {
        ++counters_.ends[static_cast<std::size_t>(end)];
        counters_.unanswered[static_cast<std::size_t>(end)] += unanswered_requests;
        if (unanswered_requests > 0)
            log_.info("connection ended with requests unanswered",
                      {field("end", name_of(end)), field("unanswered", unanswered_requests)});
        auto const found = connections_.find(&connection);
        if (found == connections_.end())
            return;
        // Destroyed from the loop, because callbacks of the connection may still be on the stack.
        loop_.post(
            [ended_connection = std::shared_ptr<server_connection>(std::move(found->second))] {});
        connections_.erase(found);
        if (connection_waits_) {
            loop_.post([weak_state = weak_from_this()] {
                if (auto const server_state = weak_state.lock())
                    server_state->accept_waiting();
            });
        }
    }

    void count_read_after_end(connection_end end, std::size_t bytes)
    {
        ++counters_.reads_after_end[static_cast<std::size_t>(end)];
        log_.info("bytes arrived after the connection had been ended",
                  {field("end", name_of(end)), field("bytes", bytes)});
    }

    std::function<void(std::size_t)> reader_after_end(connection_end end) override
    {
        return [end, weak_state = weak_from_this()](std::size_t bytes) {
            if (auto const server_state = weak_state.lock())
                server_state->count_read_after_end(end, bytes);
        };
    }

    /// Accepts the next connection, or leaves it and those behind it to wait: until it is accepted,
    /// the loop reports no other.
    void accept_when_due()
    {
        time_point const now = clock_.now();
        bool const takes_a_place = budget_->replaces_oldest_connection() && budget_->is_full();
        duration const wait = takes_a_place ? accept_pace_.wait_before_next(now) : duration::zero();
        connection_waits_ = wait > duration::zero();
        if (connection_waits_) {
            accept_timer_.start_once(wait, [this] { accept_waiting(); });
            return;
        }
        accept_pace_.note_accepted(now);
        accept();
    }

    void accept_waiting()
    {
        if (!connection_waits_ || listening_handle_ == nullptr)
            return;
        accept_timer_.stop();
        accept_when_due();
    }

    void accept()
    {
        bool const has_room = budget_->try_accept_connection();
        auto connection = std::make_unique<server_connection>(
            loop_, clock_, ++last_connection_number_, limits_, *budget_, *this);
        if (!connection->accept(reinterpret_cast<uv_stream_t*>(listening_handle_)))
            return;
        // A connection that ends before anything was read tells its caller that nothing has run.
        if (!has_room) {
            connection->on_give_up();
            return;
        }
        if (closing_after_answers_)
            connection->close_after_answers();
        ++counters_.accepted;
        server_connection& accepted = *connection;
        connections_.emplace(&accepted, std::move(connection));
        // All that wait to be accepted are, before the loop reads from any of them: a complete
        // request must be seen before its connection can make room for others.
        if (budget_->replaces_oldest_connection())
            accepted.read_arrived();
    }

    template <class Action>
    void for_each_connection(Action action)
    {
        std::vector<server_connection*> connections_to_visit;
        connections_to_visit.reserve(connections_.size());
        for (auto const& [key, connection] : connections_)
            connections_to_visit.push_back(key);
        for (server_connection* const each : connections_to_visit) {
            if (connections_.contains(each))
                action(*each);
        }
    }

    void stop_accepting()
    {
        if (listening_handle_ == nullptr)
            return;
        accept_timer_.stop();
        uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(listening_handle_, nullptr)),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    }

    /// Limit of repeated log lines per second, high enough to show most lost requests one by one.
    static constexpr unsigned log_lines_per_second = 100;

    event_loop& loop_;
    clock_source const& clock_;
    server_limits limits_;
    std::shared_ptr<memory_budget> budget_;
    logger log_{"http-server", log_lines_per_second};
    timer time_limit_timer_;
    accept_pace accept_pace_;
    bool connection_waits_ = false; ///< A connection waits to be accepted.
    timer accept_timer_;            ///< Accepts the connection that waits.
    request_handler handler_;
    uv_tcp_t* listening_handle_ = nullptr;
    address listening_address_;
    std::unordered_map<server_connection*, std::unique_ptr<server_connection>> connections_;
    server_counters counters_;
    std::uint64_t last_connection_number_ = 0;
    bool closing_after_answers_ = false;
};

server::server(event_loop& loop, clock_source const& clock, server_limits limits,
               std::shared_ptr<memory_budget> budget)
    : state_(std::make_shared<state>(
          loop, clock, limits,
          budget ? std::move(budget) : std::make_shared<memory_budget>(memory_budget_options{})))
{}

server::~server()
{
    state_->stop_accepting();
    state_->handler_ = [](auto const&) {};
    state_->for_each_connection([](server_connection& each) { each.abort(); });
}

result<address> server::try_listen(address const& at, request_handler handler)
{
    state_->handler_ = std::move(handler);
    state_->listening_handle_ = new uv_tcp_t{};
    uv_tcp_t* const listening_handle = state_->listening_handle_;
    uv_tcp_init(state_->loop_.raw(), listening_handle);
    listening_handle->data = state_.get();
    sockaddr_in const requested_address = at.to_sockaddr();
    int code =
        uv_tcp_bind(listening_handle, reinterpret_cast<sockaddr const*>(&requested_address), 0);
    if (code == 0) {
        code = uv_listen(reinterpret_cast<uv_stream_t*>(listening_handle), listen_backlog,
                         [](uv_stream_t* stream, int status) {
                             if (status == 0)
                                 static_cast<state*>(stream->data)->accept_when_due();
                         });
    }
    if (code != 0) {
        return fail(error_kind::invalid_input,
                    fmt::format("TCP address {} can't be bound ({}); free it or choose another",
                                at.text(), uv_strerror(code)));
    }
    state_->time_limit_timer_.start_periodic(
        time_limit_check_interval, [listening_state = state_.get()] {
            time_point const now = listening_state->clock_.now();
            listening_state->for_each_connection(
                [now](server_connection& each) { each.check_time_limits(now); });
        });
    sockaddr_storage bound_address{};
    int length = sizeof bound_address;
    uv_tcp_getsockname(listening_handle, reinterpret_cast<sockaddr*>(&bound_address), &length);
    state_->listening_address_ =
        address::from_sockaddr(reinterpret_cast<sockaddr const&>(bound_address));
    return state_->listening_address_;
}

void server::set_limits(server_limits const& limits)
{
    state_->limits_ = limits;
    state_->for_each_connection([&limits](server_connection& each) { each.set_limits(limits); });
}

void server::close_after_answers()
{
    state_->closing_after_answers_ = true;
    state_->for_each_connection([](server_connection& each) { each.close_after_answers(); });
}

void server::stop_accepting()
{
    state_->stop_accepting();
}

std::size_t server::open_connections() const
{
    return state_->connections_.size();
}

std::size_t server::unanswered_requests() const
{
    std::size_t unanswered = 0;
    for (auto const& [key, connection] : state_->connections_)
        unanswered += connection->unanswered_requests();
    return unanswered;
}

std::size_t server::unsent_bytes() const
{
    // Only the loop still knows the sockets that are closing gracefully.
    unsent_bytes_of_port sum{.port = state_->listening_address_.port};
    uv_walk(state_->loop_.raw(), add_unsent_bytes, &sum);
    return sum.total;
}

server_counters const& server::counters() const
{
    return state_->counters_;
}

} // namespace burdockstep::http1
