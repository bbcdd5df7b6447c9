/// Small documents for tests.
#pragma once

#include <string>

namespace burdockstep::testing {

/// Two regions with a place each; one service that is idempotent and one that isn't.
std::string sample_deployment();

} // namespace burdockstep::testing
