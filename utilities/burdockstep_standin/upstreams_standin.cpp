#include "utilities/burdockstep_standin/upstreams_standin.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace burdockstep {

namespace json = boost::json;

namespace {

std::uint64_t count_repeated_requests(request_run_counts const& counts)
{
    return static_cast<std::uint64_t>(std::ranges::count_if(counts, [](auto const& each) {
        return each.second > 1 && each.first.starts_with("once-");
    }));
}

double parse_double(std::string const& text)
{
    return text.empty() ? 0.0 : std::strtod(text.c_str(), nullptr);
}

} // namespace

upstreams_standin::upstreams_standin(event_loop& loop, deployment document, entry_places entries,
                                     std::uint64_t seed, double speed_factor)
    : loop_(loop), document_(std::move(document)), entries_(std::move(entries)), random_(seed),
      speed_factor_(speed_factor), control_server_(loop, {})
{}

upstream_behaviour upstreams_standin::normal_behaviour(service const& definition,
                                                       double speed_factor)
{
    auto const scaled_duration = [&](double milliseconds) {
        return duration(static_cast<std::int64_t>(milliseconds * 1000 / speed_factor));
    };
    constexpr double short_work_service_ms = 20;
    constexpr double long_work_service_ms = 60;
    constexpr double long_work_streaming_ms = 400;
    if (definition.work == service_class::slow_processing_time)
        return {.mean_service_time = scaled_duration(long_work_service_ms),
                .answer_bytes = std::size_t{512} * 1024,
                .streaming_time = scaled_duration(long_work_streaming_ms)};
    return {.mean_service_time = scaled_duration(short_work_service_ms), .answer_bytes = 2'048};
}

duration upstreams_standin::one_way_delay(address const& caller, upstream const& destination) const
{
    auto const found = entries_.find(caller.ip);
    if (found == entries_.end() || found->second == destination.place)
        return duration::zero();
    bool const same_region =
        document_.region_of_place(found->second) == document_.region_of_place(destination.place);
    return same_region ? document_.delays.between_places : document_.delays.between_regions;
}

result<address> upstreams_standin::try_listen(address const& control_address)
{
    for (upstream& each : document_.upstreams) {
        upstream const& target = each;
        service const& definition = *document_.find_service(each.service);
        auto standin = std::make_unique<upstream_standin>(
            loop_, each, normal_behaviour(definition, speed_factor_),
            [this, &target](address const& caller) { return one_way_delay(caller, target); },
            random_, definition.idempotent ? idempotent_run_counts_ : ticketed_run_counts_);
        BOOST_LEAF_ASSIGN(each.at, standin->try_listen(each.at));
        upstream_standins_.push_back(std::move(standin));
    }
    return control_server_.try_listen(
        control_address,
        [this](std::shared_ptr<http_exchange> const& exchange) { handle_control(*exchange); });
}

void upstreams_standin::handle_control(http_exchange& exchange)
{
    if (exchange.request().path == "/control/runs")
        reply_with_run_counts(exchange);
    else if (exchange.request().path == "/control/upstream")
        set_faults(exchange);
    else
        exchange.reply(404, {}, "use /control/upstream or /control/runs\n");
}

void upstreams_standin::reply_with_run_counts(http_exchange& exchange) const
{
    json::object upstreams;
    for (auto const& each : upstream_standins_)
        upstreams[each->definition().name.get()] =
            json::object{{"answered", each->answered()},
                         {"busy", each->busy_slots()},
                         {"arrivals", each->arrivals()},
                         {"in_progress", each->in_progress()}};
    // Only an idempotent request may run again, after a send whose outcome is unknown.
    json::object const body{
        {"requests", ticketed_run_counts_.size() + idempotent_run_counts_.size()},
        {"run_more_than_once", count_repeated_requests(ticketed_run_counts_)},
        {"idempotent_run_more_than_once", count_repeated_requests(idempotent_run_counts_)},
        {"upstreams", std::move(upstreams)}};
    exchange.reply(200, {{"content-type", "application/json"}}, json::serialize(body) + "\n");
}

std::vector<upstream_standin*> upstreams_standin::find_upstreams(std::string const& name)
{
    std::vector<upstream_standin*> found;
    for (auto const& each : upstream_standins_) {
        if (name == "all" || each->definition().name.get() == name ||
            each->definition().service.get() == name)
            found.push_back(each.get());
    }
    return found;
}

void upstreams_standin::set_faults(http_exchange& exchange)
{
    http_request const& request = exchange.request();
    auto const targets = find_upstreams(request.parameter("name"));
    if (targets.empty()) {
        exchange.reply(404, {},
                       "no upstream matches; give name=UPSTREAM, name=SERVICE or name=all\n");
        return;
    }
    auto const is_given = [&](char const* key) { return !request.parameter(key).empty(); };
    for (upstream_standin* const each : targets) {
        upstream_faults& faults = each->faults();
        if (is_given("stall_ms"))
            faults.stalled_until =
                clock_.now() + std::chrono::milliseconds(static_cast<std::int64_t>(
                                   parse_double(request.parameter("stall_ms"))));
        if (is_given("shed"))
            faults.sheds_requests = request.parameter("shed") == "1";
        if (is_given("leaving"))
            faults.is_leaving = request.parameter("leaving") == "1";
        if (is_given("slow_factor"))
            faults.service_time_factor =
                std::max(parse_double(request.parameter("slow_factor")), 0.01);
        if (is_given("load_factor"))
            faults.reported_load_factor = parse_double(request.parameter("load_factor"));
        if (request.parameter("silent") == "1")
            each->silence_open_connections();
    }
    exchange.reply(200, {}, "done\n");
}

} // namespace burdockstep
