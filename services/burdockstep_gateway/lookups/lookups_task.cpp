#include "services/burdockstep_gateway/lookups/lookups_task.hpp"

#include "libraries/lookup/entry_choice.hpp"

#include <utility>

namespace burdockstep::gateway {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
/// After the first configuration arrives here, all entries that reach the store have it within this
/// time.
constexpr duration startup_convergence_time = std::chrono::milliseconds(1'500);
/// The platform's checks and metrics readers ask one question at a time. Metrics are long answers.
constexpr http1::server_limits operators_limits{.max_pipelined = 2};

} // namespace

lookups_task::lookups_task(gateway_context& context, http_dialect const& dialect,
                           std::function<std::string()> metrics)
    : context_(context), dialect_(dialect), collect_metrics_(std::move(metrics)),
      readiness_server_(context.loop, context.clock, operators_limits, context.budgets.operators),
      lookups_server_(context.loop, context.clock, {}, context.budgets.callers),
      metrics_server_(context.loop, context.clock, operators_limits, context.budgets.operators)
{}

result<void> lookups_task::try_start()
{
    gateway_settings& settings = context_.settings;
    auto const listen = [](http1::server& server, address const& listen_address,
                           std::function<void(http1::exchange&)> handler) {
        return server.try_listen(
            listen_address,
            [handler = std::move(handler)](std::shared_ptr<http1::exchange> const& http_exchange) {
                handler(*http_exchange);
            });
    };
    BOOST_LEAF_ASSIGN(settings.readiness, listen(readiness_server_, settings.readiness,
                                                 [this](http1::exchange& http_exchange) {
                                                     answer_readiness(http_exchange);
                                                 }));
    BOOST_LEAF_ASSIGN(settings.lookups, listen(lookups_server_, settings.lookups,
                                               [this](http1::exchange& http_exchange) {
                                                   answer_lookup(http_exchange);
                                               }));
    BOOST_LEAF_ASSIGN(
        settings.metrics,
        listen(metrics_server_, settings.metrics, [this](http1::exchange& http_exchange) {
            http_exchange.reply({.status = status_ok,
                                 .headers = {{.name = "content-type", .value = "text/plain"}},
                                 .body = collect_metrics_()});
        }));
    return {};
}

void lookups_task::answer_readiness(http1::exchange& http_exchange) const
{
    int status = status_not_found;
    if (dialect_.is_readiness_probe(http_exchange.request().head))
        status = is_ready() ? status_ok : status_unavailable;
    http_exchange.reply({.status = status, .headers = {}, .body = {}});
}

void lookups_task::answer_lookup(http1::exchange& http_exchange) const
{
    auto const question = dialect_.read_lookup(http_exchange.request().head);
    if (!question) {
        http_exchange.reply({.status = status_not_found, .headers = {}, .body = {}});
        return;
    }
    std::vector<address> const entries = choose_entries_for(*question);
    if (entries.empty())
        http_exchange.reply({.status = status_unavailable, .headers = {}, .body = {}});
    else
        http_exchange.reply(dialect_.lookup_answer(entries, context_.settings.lookup_lifetime));
}

std::vector<address> lookups_task::choose_entries_for(lookup_query const& question) const
{
    duration const time_since_first_routes = context_.clock.now() - first_routes_received_at_;
    return choose_entries({.place = question.place,
                           .region = question.region,
                           .members = members_,
                           .self = context_.settings.instance,
                           .self_is_ready = is_ready(),
                           .deployment_just_started =
                               !has_routes_ || time_since_first_routes < startup_convergence_time},
                          context_.random);
}

void lookups_task::receive(event const& new_event)
{
    if (auto const* const members = std::get_if<members_changed>(&new_event))
        members_ = members->members;
    else if (std::holds_alternative<routing_document_applied>(new_event)) {
        if (!std::exchange(has_routes_, true))
            first_routes_received_at_ = context_.clock.now();
    }
    else if (std::holds_alternative<upstreams_changed>(new_event))
        has_upstreams_ = true;
    else if (std::holds_alternative<stop_begun>(new_event))
        stopping_ = true;
}

} // namespace burdockstep::gateway
