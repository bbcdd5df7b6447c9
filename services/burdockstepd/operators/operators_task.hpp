/// Serves operators on a separate address: apply, show, status, audit and metrics.
#pragma once

#include "services/burdockstepd/callers/callers_task.hpp"
#include "services/burdockstepd/daemon_context.hpp"

#include "libraries/configuration_sync/configuration_publisher.hpp"
#include "libraries/core/log.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/net/http_server.hpp"
#include "libraries/platform/http_platform.hpp"

#include <memory>
#include <optional>

namespace burdockstep {

/// Owns the listening socket for operators and publishes the configurations that they apply.
class operators_task final : public task
{
public:
    /// Reads status and metrics from `callers`, which must outlive this task.
    operators_task(daemon_context& context, callers_task const& callers);

    std::string_view name() const override { return "operators"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;

private:
    struct apply_in_progress
    {
        configuration_publisher publisher;
        std::shared_ptr<http_exchange> exchange;
    };

    void on_request(std::shared_ptr<http_exchange> const& exchange);
    void handle_show(http_exchange& exchange) const;
    void handle_status(http_exchange& exchange) const;
    void handle_metrics(http_exchange& exchange) const;
    void handle_audit(std::shared_ptr<http_exchange> const& exchange);
    void handle_apply(std::shared_ptr<http_exchange> const& exchange);
    void execute_publisher_command(std::shared_ptr<apply_in_progress> const& ongoing_apply,
                                   publisher_command const& command);
    void finish_apply(apply_in_progress const& ongoing_apply, apply_outcome const& outcome);

    daemon_context& context_;
    callers_task const& callers_task_;
    logger log_{"operators"};
    http_server operators_server_;
    http_client platform_http_client_;
    http_platform platform_client_;
    std::vector<member_view> members_;
    std::shared_ptr<configuration_in_force const> configuration_;
    bool platform_reachable_ = false;
    bool is_stopping_ = false;
};

} // namespace burdockstep
