/// Serves look-ups, the platform's readiness checks and the metrics page.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/forwarding/http_dialect.hpp"
#include "libraries/http1/server.hpp"

#include <string>

namespace burdockstep::gateway {

/// Answers look-ups with the entries that a caller should use, chosen from the live entries.
class lookups_task final : public task
{
public:
    lookups_task(gateway_context& context, http_dialect const& dialect,
                 std::function<std::string()> metrics);

    std::string_view name() const override { return "lookups"; }
    result<void> try_start() override;
    void receive(event const& new_event) override;

private:
    void answer_readiness(http1::exchange& http_exchange) const;
    void answer_lookup(http1::exchange& http_exchange) const;
    std::vector<address> choose_entries_for(lookup_query const& question) const;
    bool is_ready() const { return has_routes_ && has_upstreams_ && !stopping_; }

    gateway_context& context_;
    http_dialect const& dialect_;
    std::function<std::string()> collect_metrics_;
    http1::server readiness_server_;
    http1::server lookups_server_;
    http1::server metrics_server_;
    std::vector<member_view> members_;
    time_point first_routes_received_at_;
    bool has_routes_ = false;
    bool has_upstreams_ = false;
    bool stopping_ = false;
};

} // namespace burdockstep::gateway
