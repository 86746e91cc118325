#pragma once

#include "cli/failure.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Help of the command or group that `words` name, or the overview if they are empty. Thread-safe.
result<std::string> help_text(const std::vector<std::string>& words);

} // namespace gooseberryfall::cli
