#pragma once

#include "config/problem.hpp"

#include <string>

namespace gooseberryfall::config {

/// Content of a file. Thread-safe.
checked<std::string> read_text(const std::string& file);

} // namespace gooseberryfall::config
