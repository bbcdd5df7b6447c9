/// What is wrong in a settings file.
#pragma once

#include <string>
#include <vector>

namespace burdockstep {

/// One error in a file, with the line, the value seen and the remedy.
struct finding
{
    std::string file;
    unsigned line = 0; ///< From 1; 0 where the whole file is meant.
    std::string key;
    std::string seen;
    std::string remedy;

    /// "file:line: key: saw VALUE; REMEDY".
    std::string text() const;
};

/// All findings, one a line.
std::string findings_text(std::vector<finding> const& findings);

} // namespace burdockstep
