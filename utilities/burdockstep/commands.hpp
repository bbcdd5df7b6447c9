/// The commands of the operators' and callers' tool.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"

#include <optional>
#include <string>
#include <vector>

namespace burdockstep {

/// Exit codes of the tool.
enum class tool_exit_code : int
{
    success = 0,
    usage = 2,       ///< The command line is wrong.
    refused = 3,     ///< The file or request was refused; nothing has changed.
    unreachable = 4, ///< No daemon could be reached; nothing was done.
    unknown = 5      ///< It may or may not have been done.
};

/// Arguments that the commands share.
struct command_arguments
{
    std::vector<address> daemon_addresses;
    std::string document_path;
    std::string author;
    std::string change_reason;
    std::optional<std::string> base_version; ///< Version that the apply is made from.
    bool json_output = false;
    bool wait_until_in_force_everywhere =
        true; ///< After an apply, wait until it is in force everywhere.
    duration in_force_timeout = std::chrono::seconds(15);
    unsigned audit_limit = 20;
    std::string audit_before_key;
    std::string service;
    std::string region;
    std::string path = "/";
    std::string body;
    std::string ticket;
};

tool_exit_code run_check(command_arguments const& arguments);
tool_exit_code run_diff(command_arguments const& arguments);
tool_exit_code run_apply(command_arguments const& arguments);
tool_exit_code run_show(command_arguments const& arguments);
tool_exit_code run_status(command_arguments const& arguments);
tool_exit_code run_audit(command_arguments const& arguments);
tool_exit_code run_lookup(command_arguments const& arguments);
tool_exit_code run_call(command_arguments const& arguments);

} // namespace burdockstep
