/// Bounds what the process holds for others, and logs when it begins to refuse and when it no
/// longer does.
#pragma once

#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"

#include <string>

namespace burdockstep::gateway {

/// Returns the budgets for the memory and descriptors that the settings grant. Without a setting,
/// the descriptors are those that the operating system allows.
gateway_budgets make_gateway_budgets(gateway_settings const& settings);

/// Samples the progress of all connections and logs refusals.
class memory_task final : public task
{
public:
    explicit memory_task(gateway_context& context) : context_(context), sample_timer_(context.loop)
    {}

    std::string_view name() const override { return "memory"; }
    result<void> try_start() override;
    void receive(event const&) override {}
    void write_metrics(std::string& out) const override;

private:
    void sample();
    void report_refusals();

    gateway_context& context_;
    logger log_{"memory"};
    timer sample_timer_;
    http1::memory_budget_counters logged_counters_; ///< Those when refusing last ended.
    std::uint64_t last_refusals_ = 0;
    std::optional<time_point> last_refusal_at_; ///< Set while the process is refusing.
};

} // namespace burdockstep::gateway
