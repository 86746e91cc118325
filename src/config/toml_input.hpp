#pragma once

#include "config/problem.hpp"
#include "config/raw_value.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// A TOML file whose tables are one level deep.
struct toml_input {
    /// Tables and elements of arrays of tables, by line.
    std::vector<raw_table> tables;
    /// Names at the top that are neither.
    std::vector<raw_field> loose;
};

/// Parses a text. The only problem of a text that is not TOML is its first fault. Thread-safe.
checked<toml_input> parse_toml(const std::string& text);

/// Sets the file's name in all problems and orders them by line. Thread-safe.
problem_list in_file(problem_list faults, const std::string& file);

} // namespace gooseberryfall::config
