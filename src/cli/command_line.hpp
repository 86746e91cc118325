#pragma once

#include "cli/command_settings.hpp"
#include "cli/command_table.hpp"
#include "cli/failure.hpp"

#include <map>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Environment variables by name.
using environment = std::map<std::string, std::string>;

/// A parsed and checked command line.
struct invocation {
    /// Never null; lives as long as the program.
    const command_spec* command = nullptr;
    std::vector<std::string> arguments;
    command_settings settings;
};

/// Parses and checks the arguments after the program's name. `--help` gives the command `help` with
/// the words of the command as arguments. Not thread-safe, because gflags keeps the flags in global
/// variables.
result<invocation> parse_command_line(const std::vector<std::string>& arguments,
                                      const environment& variables);

} // namespace gooseberryfall::cli
