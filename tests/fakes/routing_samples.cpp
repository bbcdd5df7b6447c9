#include "tests/fakes/routing_samples.hpp"

namespace burdockstep::testing {

std::shared_ptr<routing_document> sample_document(std::uint64_t version)
{
    auto document = std::make_shared<routing_document>();
    document->version = configuration_version(version);
    route read;
    read.name = "read";
    read.host = "h";
    read.prefix = "/read/";
    read.latency_objective = std::chrono::milliseconds(300);
    read.rank = 2;
    read.services = {{.service = service_name("s"), .weight = 1}};
    read.timeout = std::chrono::seconds(2);
    read.most_upstreams = 2;
    route pay = read;
    pay.name = "pay";
    pay.prefix = "/pay/";
    pay.kind = request_kind::non_idempotent;
    pay.rank = 1;
    document->routes = {read, pay};
    service_terms terms;
    terms.name = service_name("s");
    terms.health_path = "/health";
    terms.cold_start = std::chrono::seconds(3);
    terms.cold_requests_per_s = 5;
    document->services = {terms};
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
