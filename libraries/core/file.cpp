#include "libraries/core/file.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace burdockstep {

result<std::string> read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(error_kind::not_found,
                    fmt::format("{}: can't be read; check the path and its permissions", path));
    std::ostringstream contents;
    contents << file.rdbuf();
    return std::move(contents).str();
}

result<void> write_file(std::string const& path, std::string const& contents)
{
    std::string const temporary_path = path + ".part";
    std::ofstream file(temporary_path);
    file << contents;
    file.close();
    bool const is_replaced = file.good() && std::rename(temporary_path.c_str(), path.c_str()) == 0;
    if (!is_replaced)
        return fail(error_kind::invalid_input,
                    fmt::format("{}: can't be written; check the folder and its space", path));
    return {};
}

} // namespace burdockstep
