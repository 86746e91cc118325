#pragma once

#include "config/problem.hpp"

#include "core/fleet.hpp"

#include <string>

namespace gooseberryfall::config {

/// Reads a declarative fleet file from its text; `file` is its name in messages. The version of the
/// result is 0. A file without entries is an empty fleet. Thread-safe.
checked<core::fleet> parse_fleet(const std::string& text, const std::string& file);

/// Reads a declarative fleet file. Thread-safe.
checked<core::fleet> read_fleet(const std::string& file);

/// The fleet as a file that `parse_fleet` reads. Thread-safe.
std::string write_fleet(const core::fleet& state);

} // namespace gooseberryfall::config
