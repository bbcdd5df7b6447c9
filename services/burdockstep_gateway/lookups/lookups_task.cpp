#include "services/burdockstep_gateway/lookups/lookups_task.hpp"

#include <algorithm>

namespace burdockstep::gateway {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
/// Callers read at most so many addresses.
constexpr std::size_t most_addresses = 64;

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
    if (dialect_.is_readiness_question(each.request().head))
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

std::vector<address> lookups_task::entries_for(lookup_question const& question) const
{
    std::vector<address> in_place;
    std::vector<address> in_region;
    std::vector<address> all;
    for (member_view const& each : members_) {
        bool const is_self = each.listed.instance == context_.settings.instance;
        bool const serves = is_self ? is_ready() : each.is_serving();
        if (!serves)
            continue;
        all.push_back(each.listed.callers);
        if (each.listed.region == question.region)
            in_region.push_back(each.listed.callers);
        if (each.listed.place == question.place)
            in_place.push_back(each.listed.callers);
    }
    std::vector<address>& chosen = !in_place.empty()    ? in_place
                                   : !in_region.empty() ? in_region
                                                        : all;
    std::shuffle(chosen.begin(), chosen.end(), context_.random);
    chosen.resize(std::min(chosen.size(), most_addresses));
    return chosen;
}

void lookups_task::receive(event const& what)
{
    if (auto const* const members = std::get_if<members_changed>(&what))
        members_ = members->members;
    else if (std::holds_alternative<routing_adopted>(what))
        has_routes_ = true;
    else if (std::holds_alternative<upstreams_changed>(what))
        has_upstreams_ = true;
    else if (std::holds_alternative<stop_begun>(what))
        stopping_ = true;
}

} // namespace burdockstep::gateway
