#pragma once

#include "config/problem.hpp"

#include "core/fleet.hpp"

#include <string>

namespace gooseberryfall::config {

/// Parses the text of a declarative fleet file (TOML); `file` is its name in messages. The version
/// of the result is 0. A file without entries is an empty fleet. Thread-safe.
checked<core::fleet> parse_fleet(const std::string& text, const std::string& file);

/// Reads and parses a declarative fleet file. Thread-safe.
checked<core::fleet> read_fleet(const std::string& file);

/// Formats the fleet as the text of a file that `parse_fleet` accepts. Thread-safe.
std::string write_fleet(const core::fleet& state);

} // namespace gooseberryfall::config
