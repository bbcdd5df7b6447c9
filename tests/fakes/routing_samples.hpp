/// Sample routing documents and upstreams for tests.
#pragma once

#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/routing/routing_document.hpp"

#include <map>
#include <memory>

namespace burdockstep::testing {

/// Returns a document with the host "h" and its routes "/read/" (idempotent) and "/pay/"
/// (non-idempotent). Both use service "s", with at most two upstreams per request, a latency
/// objective of 300 ms and a timeout of 2 s.
std::shared_ptr<routing_document> sample_document(std::uint64_t version = 1);

/// Returns upstream "uN" of service "s" with one slot, ready, in place "p" of region "r".
known_upstream sample_upstream(unsigned number);

/// Returns the upstreams u1 to u(count).
std::map<upstream_name, known_upstream> sample_upstreams(unsigned count);

} // namespace burdockstep::testing
