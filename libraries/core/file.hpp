/// Whole small files.
#pragma once

#include "libraries/core/error.hpp"

#include <string>

namespace burdockstep {

/// Reads a file. Fails with `not_found`.
result<std::string> read_file(std::string const& path);

/// Writes a file so that a reader sees all of it or nothing. Fails with `invalid_input`.
result<void> write_file(std::string const& path, std::string const& contents);

} // namespace burdockstep
