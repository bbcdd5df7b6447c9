/// Reads and checks the operators' document.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/configuration/finding.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace burdockstep {

/// A checked document, or what is wrong with it. Exactly one of the two is filled.
struct deployment_parse_result
{
    std::optional<deployment> document;
    std::vector<finding> findings;
};

/// Largest document that is read, in bytes.
constexpr std::size_t max_document_bytes = std::size_t{4} * 1024 * 1024;

/// Reads a document. `file` is named in the findings; no file is opened.
deployment_parse_result read_deployment(std::string const& file, std::string_view text);

} // namespace burdockstep
