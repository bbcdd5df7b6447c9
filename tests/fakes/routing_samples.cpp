#include "tests/fakes/routing_samples.hpp"

namespace burdockstep::testing {

std::shared_ptr<routing_document> sample_document(std::uint64_t version)
{
    auto document = std::make_shared<routing_document>();
    document->version = configuration_version(version);
    route read_route;
    read_route.name = "read";
    read_route.host = "h";
    read_route.prefix = "/read/";
    read_route.latency_objective = std::chrono::milliseconds(300);
    read_route.urgency_rank = 2;
    read_route.services = {{.service = service_name("s"), .weight = 1}};
    read_route.timeout = std::chrono::seconds(2);
    read_route.max_upstreams = 2;
    route pay_route = read_route;
    pay_route.name = "pay";
    pay_route.prefix = "/pay/";
    pay_route.kind = request_kind::non_idempotent;
    pay_route.urgency_rank = 1;
    document->routes = {read_route, pay_route};
    service_settings settings;
    settings.name = service_name("s");
    settings.health_path = "/health";
    settings.cold_start_duration = std::chrono::seconds(3);
    settings.cold_requests_per_s = 5;
    document->services = {settings};
    return document;
}

known_upstream sample_upstream(unsigned number)
{
    known_upstream known;
    known.registration.name = upstream_name("u" + std::to_string(number));
    known.registration.service = service_name("s");
    known.registration.at = {.ip = 0x0a000000U + number, .port = 80};
    known.registration.place = place_name("p");
    known.registration.slots = slot_count(1);
    known.region = region_name("r");
    return known;
}

std::map<upstream_name, known_upstream> sample_upstreams(unsigned count)
{
    std::map<upstream_name, known_upstream> upstreams;
    for (unsigned i = 1; i <= count; ++i) {
        known_upstream const known = sample_upstream(i);
        upstreams.emplace(known.registration.name, known);
    }
    return upstreams;
}

} // namespace burdockstep::testing
