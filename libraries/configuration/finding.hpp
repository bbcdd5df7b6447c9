/// Errors found in a settings file or a deployment document.
#pragma once

#include <string>
#include <vector>

namespace burdockstep {

/// One error in a file: its location, the value found there, and how to correct it.
struct finding
{
    std::string file;
    unsigned line = 0; ///< Counted from 1; 0 if the error concerns the whole file.
    std::string key;
    std::string seen; ///< The value found; empty if there is none to show.
    std::string remedy;

    /// Formats the finding as "FILE:LINE: KEY: saw VALUE; REMEDY".
    std::string text() const;
};

/// Formats all findings, one per line.
std::string findings_text(std::vector<finding> const& findings);

} // namespace burdockstep
