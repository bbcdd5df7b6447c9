#include "libraries/http1/client.hpp"

#include "libraries/http1/client_connection.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockstep::http1 {

namespace {

constexpr duration expiry_check_interval = std::chrono::milliseconds(500);

} // namespace

struct client::state final : client_connection::owner, std::enable_shared_from_this<client::state>
{
    using owned_connection = std::unique_ptr<client_connection>;

    struct call
    {
        owned_connection connection;
        result_handler handler;
    };

    state(event_loop& loop, clock_source const& clock, client_limits limits)
        : loop_(loop), clock_(clock), limits_(limits), expiry_timer_(loop)
    {
        expiry_timer_.start_periodic(expiry_check_interval, [this] { close_expired(); });
    }

    void on_call_end(client_connection& connection, call_result result, bool reusable) override
    {
        auto const found = calls_.find(connection.call());
        if (found == calls_.end())
            return;
        owned_connection owned = std::move(found->second.connection);
        buffered_bytes_ -= result.body.size();
        result_handler const handler = std::move(found->second.handler);
        calls_.erase(found);
        auto& idle_connections = idle_connections_[owned->to()];
        if (reusable && idle_connections.size() < limits_.max_idle_connections)
            idle_connections.push_back(std::move(owned));
        else
            destroy_from_loop(std::move(owned));
        // Posted, because callbacks of the connection are still on the stack.
        loop_.post([handler, result = std::move(result), weak_state = weak_from_this()]() mutable {
            if (!weak_state.expired())
                handler(std::move(result));
        });
    }

    void on_idle_connection_end(client_connection& connection) override
    {
        auto& idle_connections = idle_connections_[connection.to()];
        auto const found =
            std::find_if(idle_connections.begin(), idle_connections.end(),
                         [&](auto const& each) { return each.get() == &connection; });
        if (found == idle_connections.end())
            return;
        destroy_from_loop(std::move(*found));
        idle_connections.erase(found);
    }

    void on_answer_skipped() override { ++counters_.answers_skipped; }

    void on_body_growth(client_connection& connection, std::size_t added_bytes) override
    {
        buffered_bytes_ += added_bytes;
        if (buffered_bytes_ <= limits_.max_buffered_bytes)
            return;
        client_connection* largest = &connection;
        for (auto const& [number, each] : calls_) {
            if (each.connection->buffered_bytes() > largest->buffered_bytes())
                largest = each.connection.get();
        }
        ++counters_.answers_dropped_for_memory;
        largest->break_call();
    }

    /// Takes the most recently used idle connection, so that surplus ones expire. Returns null if
    /// there is none that the call may use.
    owned_connection take_idle_connection(call_options const& options)
    {
        auto const found = idle_connections_.find(options.to);
        if (found == idle_connections_.end() || found->second.empty()) {
            ++counters_.opened_none_idle;
            return nullptr;
        }
        time_point const now = clock_.now();
        client_connection const& most_recently_used = *found->second.back();
        if (now >= most_recently_used.expires_at() ||
            now - most_recently_used.idle_since() > options.max_idle_time ||
            options.on_new_connection || most_recently_used.has_carried(options.answer_id)) {
            ++counters_.opened_idle_too_long;
            return nullptr;
        }
        ++counters_.connections_reused;
        owned_connection reused_connection = std::move(found->second.back());
        found->second.pop_back();
        return reused_connection;
    }

    void close_expired()
    {
        time_point const now = clock_.now();
        for (auto& [to, idle_connections] : idle_connections_)
            std::erase_if(idle_connections,
                          [&](auto const& each) { return now >= each->expires_at(); });
        std::erase_if(idle_connections_, [](auto const& entry) { return entry.second.empty(); });
    }

    void destroy_from_loop(owned_connection connection)
    {
        loop_.post(
            [ended_connection = std::shared_ptr<client_connection>(std::move(connection))] {});
    }

    event_loop& loop_;
    clock_source const& clock_;
    client_limits limits_;
    timer expiry_timer_;
    std::map<address, std::vector<owned_connection>> idle_connections_;
    std::unordered_map<call_number, call> calls_;
    std::uint64_t last_call_number_ = 0;
    std::size_t buffered_bytes_ = 0; ///< Size of the incomplete bodies in `calls_`.
    client_counters counters_;
};

client::client(event_loop& loop, clock_source const& clock, client_limits limits)
    : state_(std::make_shared<state>(loop, clock, limits))
{}

client::~client() = default;

call_number client::start(call_options options, result_handler handler)
{
    call_number const number(++state_->last_call_number_);
    auto connection = state_->take_idle_connection(options);
    if (!connection) {
        connection = std::make_unique<client_connection>(state_->loop_, state_->clock_,
                                                         state_->limits_, *state_, options.to);
        ++state_->counters_.connections_opened;
    }
    client_connection& call_connection = *connection;
    state_->calls_.emplace(
        number, state::call{.connection = std::move(connection), .handler = std::move(handler)});
    call_connection.start(number, std::move(options));
    return number;
}

void client::cancel(call_number call)
{
    auto const found = state_->calls_.find(call);
    if (found == state_->calls_.end())
        return;
    state_->buffered_bytes_ -= found->second.connection->buffered_bytes();
    found->second.connection->abandon();
    state_->destroy_from_loop(std::move(found->second.connection));
    state_->calls_.erase(found);
}

void client::discard_connections(address const& to)
{
    state_->idle_connections_.erase(to);
    for (auto& [number, call] : state_->calls_) {
        if (call.connection->to() == to)
            call.connection->disallow_reuse();
    }
}

client_counters const& client::counters() const
{
    return state_->counters_;
}

} // namespace burdockstep::http1
