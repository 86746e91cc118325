#pragma once

#include "cli/command_line.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Runs the program with the arguments after its name and returns its exit status. Results go to
/// `out`, errors and notes to `err`. Not thread-safe.
int run(const std::vector<std::string>& arguments, const environment& variables, std::ostream& out,
        std::ostream& err);

} // namespace gooseberryfall::cli
