#include "libraries/configuration/finding.hpp"

#include <fmt/format.h>

namespace burdockstep {

std::string finding::text() const
{
    std::string const location = line == 0 ? file : fmt::format("{}:{}", file, line);
    std::string const observed = seen.empty() ? std::string{} : fmt::format("saw {}; ", seen);
    return fmt::format("{}: {}: {}{}", location, key, observed, remedy);
}

std::string findings_text(std::vector<finding> const& findings)
{
    std::string text;
    for (finding const& each : findings)
        text += each.text() + "\n";
    return text;
}

} // namespace burdockstep
