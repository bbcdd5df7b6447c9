/// Stand-in for the platform: table service, object store and instance list, with faults that can
/// be switched on.
#pragma once

#include "libraries/core/random.hpp"
#include "libraries/net/http_server.hpp"
#include "libraries/platform/platform.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace burdockstep {

/// Faults of the platform, set with `POST /control?KEY=VALUE`.
struct platform_faults
{
    bool refuse_operations = false; ///< Answers every operation with 503.
    bool ignore_operations = false; ///< Never answers an operation nor executes it.
    duration operation_delay{};     ///< Delay before each operation is executed.
    /// Number of next transactions that are committed but whose answer is cut off.
    unsigned commit_answers_to_lose = 0;
    duration object_visibility_delay{}; ///< Time until a new object can be read.
    duration list_visibility_delay{};   ///< Time until a change of the instance list can be read.
    bool stale_reads = false; ///< Single-row reads return the value before the last write.
};

/// Holds the platform's state in memory and serves its HTTP interface.
class platform_standin
{
public:
    explicit platform_standin(event_loop& loop);

    result<address> try_listen(address const& at);

private:
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
        std::string previous_value;
    };

    struct stored_object
    {
        std::string bytes;
        time_point visible_at;
    };

    struct list_snapshot
    {
        time_point visible_at;
        instance_list_snapshot list;
    };

    void on_request(std::shared_ptr<http_exchange> const& exchange);
    void execute_operation(std::shared_ptr<http_exchange> const& exchange);
    void serve_row(http_exchange& exchange) const;
    void serve_rows(http_exchange& exchange) const;
    void serve_transaction(http_exchange& exchange);
    void serve_object(http_exchange& exchange);
    void serve_list(http_exchange& exchange);
    void handle_fault_control(http_exchange& exchange);
    void handle_instance_control(http_exchange& exchange);
    void handle_leaving_upstream_control(http_exchange& exchange);
    void publish_list();
    bool expectations_hold(table_transaction const& transaction) const;

    event_loop& loop_;
    system_clock_source clock_;
    http_server server_;
    platform_faults faults_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, stored_object> objects_;
    instance_list_snapshot list_;
    std::deque<list_snapshot> list_snapshots_;
    std::map<std::string, std::uint64_t> operation_counts_;
    std::map<std::uint64_t, std::unique_ptr<timer>> delay_timers_;
    std::uint64_t next_delay_timer_number_ = 1;
};

} // namespace burdockstep
