#include "services/burdockstep_gateway/lookups/lookups_task.hpp"

#include "libraries/lookup/entry_choice.hpp"

#include <utility>

namespace burdockstep::gateway {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
/// Within this time after the first configuration all entries that reach the store have it.
constexpr duration start_spread = std::chrono::milliseconds(1'500);

} // namespace

lookups_task::lookups_task(gateway_context& context, http_dialect const& dialect,
                           std::function<std::string()> metrics)
    : context_(context), dialect_(dialect), metrics_(std::move(metrics)),
      readiness_(context.loop, context.clock, {}), lookups_(context.loop, context.clock, {}),
      metrics_server_(context.loop, context.clock, {})
{}

result<void> lookups_task::try_start()
{
    gateway_settings& settings = context_.settings;
    auto const listen = [](http1::server& server, address const& at,
                           std::function<void(http1::exchange&)> answer) {
        return server.try_listen(
            at, [answer = std::move(answer)](std::shared_ptr<http1::exchange> const& each) {
                answer(*each);
            });
    };
    BOOST_LEAF_ASSIGN(settings.readiness,
                      listen(readiness_, settings.readiness,
                             [this](http1::exchange& each) { answer_readiness(each); }));
    BOOST_LEAF_ASSIGN(
        settings.lookups,
        listen(lookups_, settings.lookups, [this](http1::exchange& each) { answer_lookup(each); }));
    BOOST_LEAF_ASSIGN(settings.metrics,
                      listen(metrics_server_, settings.metrics, [this](http1::exchange& each) {
                          each.reply({.status = status_ok,
                                      .headers = {{.name = "content-type", .value = "text/plain"}},
                                      .body = metrics_()});
                      }));
    return {};
}

void lookups_task::answer_readiness(http1::exchange& each) const
{
    int status = status_not_found;
    if (dialect_.is_readiness_probe(each.request().head))
        status = is_ready() ? status_ok : status_unavailable;
    each.reply({.status = status, .headers = {}, .body = {}});
}

void lookups_task::answer_lookup(http1::exchange& each) const
{
    auto const question = dialect_.read_lookup(each.request().head);
    if (!question) {
        each.reply({.status = status_not_found, .headers = {}, .body = {}});
        return;
    }
    std::vector<address> const entries = entries_for(*question);
    if (entries.empty())
        each.reply({.status = status_unavailable, .headers = {}, .body = {}});
    else
        each.reply(dialect_.lookup_answer(entries, context_.settings.lookup_lifetime));
}

std::vector<address> lookups_task::entries_for(lookup_query const& question) const
{
    duration const since_routes = context_.clock.now() - first_routes_at_;
    return choose_entries({.place = question.place,
                           .region = question.region,
                           .members = members_,
                           .self = context_.settings.instance,
                           .self_is_ready = is_ready(),
                           .deployment_just_started = !has_routes_ || since_routes < start_spread},
                          context_.random);
}

void lookups_task::receive(event const& what)
{
    if (auto const* const members = std::get_if<members_changed>(&what))
        members_ = members->members;
    else if (std::holds_alternative<routing_adopted>(what)) {
        if (!std::exchange(has_routes_, true))
            first_routes_at_ = context_.clock.now();
    }
    else if (std::holds_alternative<upstreams_changed>(what))
        has_upstreams_ = true;
    else if (std::holds_alternative<stop_begun>(what))
        stopping_ = true;
}

} // namespace burdockstep::gateway
