#pragma once

#include "config/problem.hpp"
#include "config/raw_value.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// Content of a TOML file whose tables are not nested.
struct toml_input {
    /// Tables and elements of arrays of tables, sorted by line.
    std::vector<raw_table> tables;
    /// Top-level keys with another value than a table or an array of tables.
    std::vector<raw_field> top_level_keys;
};

/// Parses a TOML text. For invalid TOML only the first syntax error is reported. Thread-safe.
checked<toml_input> parse_toml(const std::string& text);

/// Sets the file name of all problems and sorts them by line. Thread-safe.
problem_list with_file_name(problem_list problems, const std::string& file);

} // namespace gooseberryfall::config
