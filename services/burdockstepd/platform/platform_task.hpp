/// Reads the instance list and the configuration from the platform.
#pragma once

#include "services/burdockstepd/daemon_context.hpp"

#include "libraries/configuration_sync/configuration_follower.hpp"
#include "libraries/core/log.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/platform/http_platform.hpp"

#include <optional>

namespace burdockstep {

/// Owns the platform's client and the configuration follower. Only a few entries of each region
/// poll the row that names the newest configuration (the head); the others learn of changes from
/// peers.
class platform_task final : public task
{
public:
    explicit platform_task(daemon_context& context);

    std::string_view name() const override { return "platform"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;

private:
    void read_instance_list();
    void read_configuration_head();
    bool is_head_poller() const;
    void update_reachability(store_status status);
    void execute_follower_commands(std::vector<follower_command> const& commands);

    daemon_context& context_;
    logger log_{"platform"};
    http_client platform_http_client_;
    http_platform platform_client_;
    configuration_follower follower_;
    timer list_read_timer_;
    timer head_read_timer_;
    timer fetch_retry_timer_;
    std::vector<member_view> members_;
    time_point last_head_read_at_;
    time_point next_list_read_at_;
    std::optional<bool> is_reachable_;
    bool list_read_pending_ = false;
    bool head_read_pending_ = false;
};

} // namespace burdockstep
