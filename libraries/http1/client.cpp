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
        std::size_t sent_bytes = 0; ///< Size of the request's body.
    };

    state(event_loop& loop, clock_source const& clock, client_limits limits,
          std::shared_ptr<memory_budget> budget)
        : loop_(loop), clock_(clock), limits_(limits), budget_(std::move(budget)),
          expiry_timer_(loop)
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
        ++counters_.answers_over_limit.at(static_cast<std::size_t>(result.exceeded));
        result_handler const handler = std::move(found->second.handler);
        forget_sent_bytes(owned->to(), found->second.sent_bytes);
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

    void on_answer_dropped() override { ++counters_.answers_dropped_for_memory; }

    bool has_room_for_body(address const& to, std::size_t bytes) const
    {
        auto const found = sent_bytes_.find(to);
        return found == sent_bytes_.end() ||
               found->second + bytes <= limits_.max_sent_bytes_per_address;
    }

    void forget_sent_bytes(address const& to, std::size_t bytes)
    {
        auto const found = sent_bytes_.find(to);
        if (found == sent_bytes_.end())
            return;
        found->second -= bytes;
        if (found->second == 0)
            sent_bytes_.erase(found);
    }

    /// Reports later that there is no room for the connection of a call.
    void refuse_call(call_number number, address const& to, result_handler handler)
    {
        refused_calls_.emplace(number, std::move(handler));
        loop_.post([number, to, weak_state = weak_from_this()] {
            auto const client_state = weak_state.lock();
            if (client_state == nullptr)
                return;
            auto refused_call = client_state->refused_calls_.extract(number);
            if (!refused_call.empty())
                refused_call.mapped()({.end = call_end::no_room, .to = to});
        });
    }

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
    std::shared_ptr<memory_budget> budget_;
    timer expiry_timer_;
    std::map<address, std::vector<owned_connection>> idle_connections_;
    std::unordered_map<call_number, call> calls_;
    std::unordered_map<call_number, result_handler> refused_calls_; ///< Not reported yet.
    std::map<address, std::size_t> sent_bytes_; ///< Sizes of the bodies under way to each address.
    std::uint64_t last_call_number_ = 0;
    std::size_t buffered_bytes_ = 0; ///< Size of the incomplete bodies in `calls_`.
    client_counters counters_;
};

client::client(event_loop& loop, clock_source const& clock, client_limits limits,
               std::shared_ptr<memory_budget> budget)
    : state_(std::make_shared<state>(
          loop, clock, limits,
          budget ? std::move(budget) : std::make_shared<memory_budget>(memory_budget_options{})))
{}

client::~client() = default;

call_number client::start(call_options options, result_handler handler)
{
    call_number const number(++state_->last_call_number_);
    std::size_t const sent_bytes = options.body.size();
    if (sent_bytes > 0 && !state_->has_room_for_body(options.to, sent_bytes)) {
        ++state_->counters_.calls_refused_for_bodies;
        state_->refuse_call(number, options.to, std::move(handler));
        return number;
    }
    auto connection = state_->take_idle_connection(options);
    if (!connection) {
        if (!state_->budget_->try_open_connection()) {
            state_->refuse_call(number, options.to, std::move(handler));
            return number;
        }
        connection = std::make_unique<client_connection>(
            state_->loop_, state_->clock_, state_->limits_, *state_->budget_, *state_, options.to);
        ++state_->counters_.connections_opened;
    }
    client_connection& call_connection = *connection;
    state_->calls_.emplace(number, state::call{.connection = std::move(connection),
                                               .handler = std::move(handler),
                                               .sent_bytes = sent_bytes});
    if (sent_bytes > 0)
        state_->sent_bytes_[options.to] += sent_bytes;
    call_connection.start(number, std::move(options));
    return number;
}

void client::cancel(call_number call)
{
    state_->refused_calls_.erase(call);
    auto const found = state_->calls_.find(call);
    if (found == state_->calls_.end())
        return;
    state_->buffered_bytes_ -= found->second.connection->buffered_bytes();
    state_->forget_sent_bytes(found->second.connection->to(), found->second.sent_bytes);
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

void client::set_max_sent_bytes_per_address(std::size_t bytes)
{
    state_->limits_.max_sent_bytes_per_address = bytes;
}

client_counters const& client::counters() const
{
    return state_->counters_;
}

} // namespace burdockstep::http1
