/// Commands of the command-line tool for operators and callers.
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
    usage = 2,       ///< The command line is invalid, or the document cannot be read.
    refused = 3,     ///< The document or request was refused; nothing has changed.
    unreachable = 4, ///< No daemon gave a usable answer; nothing was done.
    unknown = 5      ///< The request may or may not have been executed.
};

/// Arguments of all commands; each command uses some of them.
struct command_arguments
{
    std::vector<address> daemon_addresses;
    std::string document_path;
    std::string author;
    std::string change_reason;
    /// Version that `apply` replaces; default: the version in force.
    std::optional<std::string> base_version;
    bool json_output = false;
    /// Whether `apply` waits until the new version is in force on all reachable instances.
    bool wait_until_in_force_everywhere = true;
    duration in_force_timeout = std::chrono::seconds(15);
    unsigned audit_limit = 20;
    std::string audit_before_key; ///< Lists only audit records older than this key.
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
