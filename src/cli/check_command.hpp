#pragma once

#include "cli/command_line.hpp"
#include "cli/failure.hpp"

#include <iosfwd>

namespace gooseberryfall::cli {

/// Runs the command `check`: prints warnings and differences to `out`. Fails with `invalid_file` if
/// the file, or the one to compare with, has errors. Not thread-safe.
result<void> run_check(const invocation& command_line, std::ostream& out);

} // namespace gooseberryfall::cli
