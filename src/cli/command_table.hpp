#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

enum class command_id {
    validate,
    check,
    diff,
    apply,
    fleet,
    status,
    audit,
    job_list,
    job_show,
    job_cancel,
    key_issue,
    key_withdraw,
    drain,
    explain,
    help,
};

/// Description of a command for the parser and the help.
struct command_spec {
    command_id id = command_id::help;
    /// One word, or two such as `key issue`.
    std::string name;
    /// Arguments as shown in the help, for example `FILE`; may be empty.
    std::string arguments;
    std::size_t argument_count = 0;
    /// Flags that not every command takes, without dashes.
    std::vector<std::string> flags;
    /// Subset of `flags` that must be given.
    std::vector<std::string> required_flags;
    /// Whether the command calls an instance.
    bool remote = true;
    /// Whether a command that isn't remote calls an instance if one is given.
    bool optionally_remote = false;
    /// Whether the audit trail records the command with its author.
    bool needs_author = false;
    std::string summary;
    /// Full sentences for `help COMMAND`.
    std::string details;
    std::string example;
};

/// All commands in the order of the help. Thread-safe.
const std::vector<command_spec>& command_table();

/// Command with this name, or null. Thread-safe.
const command_spec* find_command(const std::string& name);

/// Full names of the two-word commands whose first word is `group`. Thread-safe.
std::vector<std::string> commands_in_group(const std::string& group);

/// Name of the command that is most similar to `name`. Thread-safe.
std::string nearest_command(const std::string& name);

} // namespace gooseberryfall::cli
