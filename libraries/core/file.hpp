/// Reading and writing of small files as a whole.
#pragma once

#include "libraries/core/error.hpp"

#include <string>

namespace burdockstep {

/// Reads a whole file. Fails with `not_found` when the file can't be opened.
result<std::string> read_file(std::string const& path);

/// Replaces a file atomically: the content is written to `path`.part, which is then renamed. Fails
/// with `invalid_input` when the file can't be written.
result<void> write_file(std::string const& path, std::string const& contents);

} // namespace burdockstep
