#include "utilities/burdockstep_standin/upstreams_standin.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace burdockstep {

namespace json = boost::json;

namespace {

double parse_real(std::string const& text)
{
    return text.empty() ? 0.0 : std::strtod(text.c_str(), nullptr);
}

} // namespace

upstreams_standin::upstreams_standin(event_loop& loop, deployment document, entry_places entries,
                                     std::uint64_t seed, double speed)
    : loop_(loop), document_(std::move(document)), entries_(std::move(entries)), random_(seed),
      speed_(speed), control_(loop, {})
{}

upstream_behaviour upstreams_standin::behaviour_of(service const& what, double speed)
{
    auto const scaled = [&](double milliseconds) {
        return duration(static_cast<std::int64_t>(milliseconds * 1000 / speed));
    };
    constexpr double short_service_ms = 20;
    constexpr double long_service_ms = 60;
    constexpr double long_streaming_ms = 400;
    if (what.work == service_class::long_work)
        return {.mean_service = scaled(long_service_ms),
                .answer_bytes = std::size_t{512} * 1024,
                .streaming_time = scaled(long_streaming_ms)};
    return {.mean_service = scaled(short_service_ms), .answer_bytes = 2'048};
}

duration upstreams_standin::one_way(address const& caller, upstream const& to) const
{
    auto const found = entries_.find(caller.ip);
    if (found == entries_.end() || found->second == to.place)
        return duration::zero();
    bool const same_region =
        document_.region_of_place(found->second) == document_.region_of_place(to.place);
    return same_region ? document_.delays.between_places : document_.delays.between_regions;
}

result<address> upstreams_standin::try_listen(address const& control)
{
    for (upstream& each : document_.upstreams) {
        upstream const& target = each;
        auto standin = std::make_unique<upstream_standin>(
            loop_, each, behaviour_of(*document_.find_service(each.service), speed_),
            [this, &target](address const& caller) { return one_way(caller, target); }, random_,
            runs_);
        BOOST_LEAF_ASSIGN(each.at, standin->try_listen(each.at));
        upstreams_.push_back(std::move(standin));
    }
    return control_.try_listen(
        control, [this](std::shared_ptr<http_exchange> const& exchange) { on_control(*exchange); });
}

void upstreams_standin::on_control(http_exchange& exchange)
{
    if (exchange.request().path == "/control/runs")
        show_runs(exchange);
    else if (exchange.request().path == "/control/upstream")
        set_faults(exchange);
    else
        exchange.reply(404, {}, "use /control/upstream or /control/runs\n");
}

void upstreams_standin::show_runs(http_exchange& exchange) const
{
    std::uint64_t repeated = 0;
    for (auto const& [id, count] : runs_) {
        if (count > 1 && id.starts_with("once-"))
            ++repeated;
    }
    json::object upstreams;
    for (auto const& each : upstreams_)
        upstreams[each->what().name.get()] =
            json::object{{"answered", each->answered()}, {"busy", each->busy()}};
    json::object const body{{"requests", runs_.size()},
                            {"run_more_than_once", repeated},
                            {"upstreams", std::move(upstreams)}};
    exchange.reply(200, {{"content-type", "application/json"}}, json::serialize(body) + "\n");
}

std::vector<upstream_standin*> upstreams_standin::matching(std::string const& name)
{
    std::vector<upstream_standin*> found;
    for (auto const& each : upstreams_) {
        if (name == "all" || each->what().name.get() == name || each->what().service.get() == name)
            found.push_back(each.get());
    }
    return found;
}

void upstreams_standin::set_faults(http_exchange& exchange)
{
    http_request const& request = exchange.request();
    auto const targets = matching(request.parameter("name"));
    if (targets.empty()) {
        exchange.reply(404, {}, "no such upstream; name one, a service, or 'all'\n");
        return;
    }
    auto const given = [&](char const* key) { return !request.parameter(key).empty(); };
    for (upstream_standin* const each : targets) {
        upstream_faults& faults = each->faults();
        if (given("stall_ms"))
            faults.stalled_until =
                clock_.now() + std::chrono::milliseconds(static_cast<std::int64_t>(
                                   parse_real(request.parameter("stall_ms"))));
        if (given("shed"))
            faults.shed = request.parameter("shed") == "1";
        if (given("leaving"))
            faults.leaving = request.parameter("leaving") == "1";
        if (given("slow_factor"))
            faults.slow_factor = std::max(parse_real(request.parameter("slow_factor")), 0.01);
        if (given("load_factor"))
            faults.load_factor = parse_real(request.parameter("load_factor"));
        if (request.parameter("silent") == "1")
            each->silence_connections();
    }
    exchange.reply(200, {}, "done\n");
}

} // namespace burdockstep
