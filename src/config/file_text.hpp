#pragma once

#include "config/problem.hpp"

#include <string>

namespace gooseberryfall::config {

/// Reads a whole file; a problem if it cannot be opened or read. Thread-safe.
checked<std::string> read_file(const std::string& file);

} // namespace gooseberryfall::config
