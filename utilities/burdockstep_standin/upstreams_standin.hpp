/// Stand-ins for all upstreams of a deployment in one process, with one control interface.
#pragma once

#include "utilities/burdockstep_standin/upstream_standin.hpp"

#include "libraries/configuration/deployment.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockstep {

/// Places of the entry instances, by the IPv4 address that they connect from.
using entry_places = std::map<std::uint32_t, place_name>;

/// Owns an `upstream_standin` for each upstream of a deployment and serves the control interface.
class upstreams_standin
{
public:
    upstreams_standin(event_loop& loop, deployment document, entry_places entries,
                      std::uint64_t seed, double speed_factor);

    /// Listens on all upstream addresses and on the control address. The system chooses the port
    /// of each upstream whose port is 0; `document` then contains the chosen port.
    result<address> try_listen(address const& control_address);
    deployment const& document() const { return document_; }

private:
    duration one_way_delay(address const& caller, upstream const& destination) const;
    static upstream_behaviour normal_behaviour(service const& definition, double speed_factor);
    void handle_control(http_exchange& exchange);
    void set_faults(http_exchange& exchange);
    void reply_with_run_counts(http_exchange& exchange) const;
    std::vector<upstream_standin*> find_upstreams(std::string const& name);

    event_loop& loop_;
    deployment document_;
    entry_places entries_;
    random_source random_;
    double speed_factor_;
    system_clock_source clock_;
    http_server control_server_;
    /// Runs of each request id, at the upstreams of services that aren't idempotent.
    request_run_counts ticketed_run_counts_;
    /// Runs of each request id, at the upstreams of idempotent services.
    request_run_counts idempotent_run_counts_;
    std::vector<std::unique_ptr<upstream_standin>> upstream_standins_;
};

} // namespace burdockstep
