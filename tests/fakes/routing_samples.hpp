/// Small routing documents and upstreams for tests.
#pragma once

#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/routing/routing_document.hpp"

#include <map>
#include <memory>

namespace burdockstep::testing {

/// Host "h" with "/read/" (idempotent) and "/pay/" (non-idempotent), both to service "s", two
/// upstreams a request at most, an objective of 300 ms and a timeout of 2 s.
std::shared_ptr<routing_document> sample_document(std::uint64_t version = 1);

/// Upstream "uN" of service "s" with one slot, ready, in the place "p" of the region "r".
known_upstream sample_upstream(unsigned number);

/// Upstreams u1 to uN.
std::map<upstream_name, known_upstream> sample_upstreams(unsigned count);

} // namespace burdockstep::testing
