#include "services/burdockstep_gateway/memory/memory_task.hpp"

#include <sys/resource.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace burdockstep::gateway {

namespace {

/// The rest is for the program, what it knows of the deployment, and the memory allocator's gaps.
constexpr std::size_t callers_memory_divisor = 2;
constexpr std::size_t operators_memory_divisor = 16;
/// Descriptors for files and for sockets that aren't bounded here: listeners, peers and the store.
constexpr std::size_t own_descriptors = 32;
/// Descriptors are divided into this many parts.
constexpr std::size_t descriptor_parts = 16;
constexpr std::size_t accepted_parts = 11; ///< For callers' connections.
constexpr std::size_t callers_parts = 13;  ///< Caller and upstream connections together.
constexpr std::size_t operators_parts = 1;
/// The process has ceased to refuse when it hasn't refused anything for this long.
constexpr duration refusal_end_time = std::chrono::seconds(5);

std::size_t granted_descriptors(gateway_settings const& settings)
{
    if (settings.max_descriptors > 0)
        return settings.max_descriptors;
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

gateway_budgets make_gateway_budgets(gateway_settings const& settings)
{
    std::size_t const part = granted_descriptors(settings) / descriptor_parts;
    auto const without_own = [](std::size_t descriptors) {
        return std::max(descriptors, 2 * own_descriptors) - own_descriptors;
    };
    return {.callers = std::make_shared<http1::memory_budget>(http1::memory_budget_options{
                .max_bytes = settings.memory_bytes / callers_memory_divisor,
                .max_connections = without_own(callers_parts * part),
                .max_connections_to_accept = without_own(accepted_parts * part)}),
            .operators = std::make_shared<http1::memory_budget>(http1::memory_budget_options{
                .max_bytes = settings.memory_bytes / operators_memory_divisor,
                .max_connections = operators_parts * part,
                .max_connections_to_accept = operators_parts * part,
                .replaces_oldest_connection = true})};
}

result<void> memory_task::try_start()
{
    sample_timer_.start_periodic(
        std::chrono::milliseconds(http1::memory_budget::sample_interval_ms), [this] { sample(); });
    return {};
}

void memory_task::sample()
{
    context_.budgets.callers->sample();
    context_.budgets.operators->sample();
    report_refusals();
}

void memory_task::report_refusals()
{
    http1::memory_budget const& budget = *context_.budgets.callers;
    http1::memory_budget_counters const& counters = budget.counters();
    time_point const now = context_.clock.now();
    if (counters.refusals() != std::exchange(last_refusals_, counters.refusals())) {
        if (!last_refusal_at_) {
            log_.warning("begins to refuse: memory or descriptors are used up",
                         {field("used_bytes", budget.used_bytes()),
                          field("max_bytes", budget.max_bytes()),
                          field("connections", budget.connections()),
                          field("max_connections", budget.max_connections())});
        }
        last_refusal_at_ = now;
        return;
    }
    if (!last_refusal_at_ || now - *last_refusal_at_ < refusal_end_time)
        return;
    last_refusal_at_.reset();
    log_.info(
        "no longer refuses",
        {field("requests_and_answers", counters.refused_bytes - logged_counters_.refused_bytes),
         field("connections", counters.refused_connections - logged_counters_.refused_connections),
         field("given_up", counters.given_up - logged_counters_.given_up)});
    logged_counters_ = counters;
}

void memory_task::write_metrics(std::string& out) const
{
    auto const write_budget = [&](std::string_view name, http1::memory_budget const& budget) {
        auto const write_metric = [&](std::string_view metric, std::string_view labels,
                                      std::uint64_t value) {
            fmt::format_to(std::back_inserter(out), "burdockstep_{}{{budget=\"{}\"{}}} {}\n",
                           metric, name, labels, value);
        };
        http1::memory_budget_counters const& counters = budget.counters();
        write_metric("held_bytes_max", "", budget.max_bytes());
        write_metric("held_bytes", "", budget.used_bytes());
        write_metric("connections_max", "", budget.max_connections());
        write_metric("connections", "", budget.connections());
        write_metric("no_room_total", ",for=\"bytes\"", counters.refused_bytes);
        write_metric("no_room_total", ",for=\"connection\"", counters.refused_connections);
        write_metric("slow_connections_given_up_total", "", counters.given_up);
    };
    write_budget("callers", *context_.budgets.callers);
    write_budget("operators", *context_.budgets.operators);
}

} // namespace burdockstep::gateway
