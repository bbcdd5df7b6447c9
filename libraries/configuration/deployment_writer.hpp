/// Writes a deployment document as TOML that parses to the same document.
#pragma once

#include "libraries/configuration/deployment.hpp"

#include <string>

namespace burdockstep {

/// Returns the TOML text. Consecutive upstreams of the same service and place are written under one
/// [[upstreams]] heading, with the slot count of the first.
std::string write_deployment(deployment const& document);

} // namespace burdockstep
