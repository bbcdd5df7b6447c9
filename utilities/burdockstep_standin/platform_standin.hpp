/// Stand-in for the platform: table service, object store, instance list, with faults.
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

/// Faults, each set by a control request `POST /control?KEY=VALUE`.
struct platform_faults
{
    bool refuse_operations = false; ///< Answer 503 and do nothing.
    bool ignore_operations = false; ///< Do nothing and never answer.
    duration operation_delay{};     ///< Wait before each operation.
    unsigned commit_answers_to_lose =
        0;                              ///< Cut the answer of this many commits after their effect.
    duration object_visibility_delay{}; ///< New objects appear after this time.
    duration list_visibility_delay{};   ///< Changes of the instance list appear after this time.
    bool stale_reads = false;           ///< Read each row as it was before its last write.
};

/// Owns the platform's state and its HTTP interface.
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
        platform_list list;
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
    platform_list list_;
    std::deque<list_snapshot> list_snapshots_;
    std::map<std::string, std::uint64_t> operation_counts_;
    std::map<std::uint64_t, std::unique_ptr<timer>> delay_timers_;
    std::uint64_t next_delay_timer_number_ = 1;
};

} // namespace burdockstep
