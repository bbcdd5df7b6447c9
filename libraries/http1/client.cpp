#include "libraries/http1/client.hpp"

#include "libraries/http1/client_connection.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockstep::http1 {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds(500);

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
        : loop_(loop), clock_(clock), limits_(limits), sweep_(loop)
    {
        sweep_.start_periodic(sweep_interval, [this] { close_expired(); });
    }

    void take_result(client_connection& connection, call_result result, bool reusable) override
    {
        auto const found = calls_.find(connection.call());
        if (found == calls_.end())
            return;
        owned_connection owned = std::move(found->second.connection);
        result_handler const handler = std::move(found->second.handler);
        calls_.erase(found);
        auto& kept = idle_[owned->to()];
        if (reusable && kept.size() < limits_.most_kept)
            kept.push_back(std::move(owned));
        else
            destroy_later(std::move(owned));
        // From the loop: the connection's callbacks are still on the stack.
        loop_.post([handler, result = std::move(result), alive = weak_from_this()]() mutable {
            if (!alive.expired())
                handler(std::move(result));
        });
    }

    void take_idle_end(client_connection& connection) override
    {
        auto& kept = idle_[connection.to()];
        auto const found = std::find_if(
            kept.begin(), kept.end(), [&](auto const& each) { return each.get() == &connection; });
        if (found == kept.end())
            return;
        destroy_later(std::move(*found));
        kept.erase(found);
    }

    void count_skipped_answer() override { ++counters_.answers_skipped; }

    /// The connection that was used last, so that the others run out.
    owned_connection take_idle(call_options const& options)
    {
        auto const found = idle_.find(options.to);
        if (found == idle_.end() || found->second.empty())
            return nullptr;
        time_point const now = clock_.now();
        client_connection const& last = *found->second.back();
        if (now >= last.expires() || now - last.idle_since() > options.longest_idle)
            return nullptr;
        owned_connection taken = std::move(found->second.back());
        found->second.pop_back();
        return taken;
    }

    void close_expired()
    {
        time_point const now = clock_.now();
        for (auto& [to, kept] : idle_)
            std::erase_if(kept, [&](auto const& each) { return now >= each->expires(); });
        std::erase_if(idle_, [](auto const& entry) { return entry.second.empty(); });
    }

    void destroy_later(owned_connection connection)
    {
        loop_.post([over = std::shared_ptr<client_connection>(std::move(connection))] {});
    }

    event_loop& loop_;
    clock_source const& clock_;
    client_limits limits_;
    timer sweep_;
    std::map<address, std::vector<owned_connection>> idle_;
    std::unordered_map<call_number, call> calls_;
    std::uint64_t last_call_ = 0;
    client_counters counters_;
};

client::client(event_loop& loop, clock_source const& clock, client_limits limits)
    : state_(std::make_shared<state>(loop, clock, limits))
{}

client::~client() = default;

call_number client::start(call_options options, result_handler handler)
{
    call_number const number(++state_->last_call_);
    auto connection = state_->take_idle(options);
    if (!connection) {
        connection = std::make_unique<client_connection>(state_->loop_, state_->clock_,
                                                         state_->limits_, *state_, options.to);
        ++state_->counters_.connections_opened;
    }
    client_connection& started = *connection;
    state_->calls_.emplace(
        number, state::call{.connection = std::move(connection), .handler = std::move(handler)});
    started.start(number, std::move(options));
    return number;
}

void client::cancel(call_number call)
{
    auto const found = state_->calls_.find(call);
    if (found == state_->calls_.end())
        return;
    state_->destroy_later(std::move(found->second.connection));
    state_->calls_.erase(found);
}

void client::forget_connections(address const& to)
{
    state_->idle_.erase(to);
    for (auto& [number, call] : state_->calls_) {
        if (call.connection->to() == to)
            call.connection->retire();
    }
}

client_counters const& client::counters() const
{
    return state_->counters_;
}

} // namespace burdockstep::http1
