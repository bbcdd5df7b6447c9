/// Sample configuration documents for tests.
#pragma once

#include <string>

namespace burdockstep::testing {

/// Returns a deployment in TOML with two regions of one place each, the idempotent service `levels`
/// and the non-idempotent service `transfers`.
std::string sample_deployment();

} // namespace burdockstep::testing
