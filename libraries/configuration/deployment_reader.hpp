/// Parses and validates the deployment document.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/configuration/finding.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace burdockstep {

/// A valid document, or the errors found in it. Exactly one of the two is set.
struct deployment_parse_result
{
    std::optional<deployment> document;
    std::vector<finding> findings;
};

/// Largest accepted document, in bytes.
constexpr std::size_t max_document_bytes = std::size_t{4} * 1024 * 1024;

/// Parses and validates the document in `text`. `file` is only the name used in findings.
deployment_parse_result read_deployment(std::string const& file, std::string_view text);

} // namespace burdockstep
