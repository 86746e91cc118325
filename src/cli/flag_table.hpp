#pragma once

#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Description of a flag for the help.
struct flag_spec {
    std::string name;
    std::string default_value;
    std::string description;
};

/// Flags of the program in alphabetical order, without the built-in flags of gflags. Thread-safe.
const std::vector<flag_spec>& flag_table();

/// Flag with this name, or null. Thread-safe.
const flag_spec* find_flag(const std::string& name);

/// Whether every command accepts the flag. Thread-safe.
bool is_global_flag(const std::string& name);

} // namespace gooseberryfall::cli
