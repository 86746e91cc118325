#pragma once

#include "cli/failure.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Overview without words, else the help of the command or group that the words name. Thread-safe.
result<std::string> help_text(const std::vector<std::string>& words);

} // namespace gooseberryfall::cli
