#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

enum class command_id {
    validate,
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

/// What the parser and the help know of a command.
struct command_spec {
    command_id id = command_id::help;
    /// One word, or two such as `key issue`.
    std::string name;
    /// Arguments as shown in the help, for example `FILE`; may be empty.
    std::string arguments;
    std::size_t argument_count = 0;
    /// Flags that only this command takes, without dashes.
    std::vector<std::string> flags;
    /// Those of them that must be given.
    std::vector<std::string> required_flags;
    /// Whether the command talks to an instance.
    bool remote = true;
    /// Whether the command is recorded with its author.
    bool authored = false;
    std::string summary;
    /// Whole sentences for `help COMMAND`.
    std::string details;
    std::string example;
};

/// All commands in the order of the help. Thread-safe.
const std::vector<command_spec>& command_table();

/// Command of the name, or null. Thread-safe.
const command_spec* find_command(const std::string& name);

/// Full names of the commands whose first word is `group`, if they have two. Thread-safe.
std::vector<std::string> commands_in_group(const std::string& group);

/// Name of the nearest command. Thread-safe.
std::string nearest_command(const std::string& name);

} // namespace gooseberryfall::cli
