#pragma once

#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// A flag as the help shows it.
struct flag_info {
    std::string name;
    std::string default_value;
    std::string meaning;
};

/// Flags of the program in alphabetical order, without those that gflags adds. Thread-safe.
const std::vector<flag_info>& flag_table();

/// Flag of the name, or null. Thread-safe.
const flag_info* find_flag(const std::string& name);

/// Whether every command takes the flag. Thread-safe.
bool is_global_flag(const std::string& name);

} // namespace gooseberryfall::cli
