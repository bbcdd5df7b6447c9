/// Serves operators on an address of their own: apply, show, status, audit, metrics.
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

/// Owns the operators' socket and runs applies.
class operators_task final : public task
{
public:
    /// `callers` outlives this task; only its read functions are used.
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
