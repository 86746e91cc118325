#pragma once

namespace gooseberryfall::cli {

/// Exit status of the program; documented in docs/COMMAND.md.
enum class exit_code {
    success = 0,
    /// The system, or its present state, does not allow the command.
    rejected = 1,
    usage_error = 2,
    /// A file has errors, or cannot be read.
    invalid_file = 3,
    /// The fleet was changed by somebody else since it was read.
    conflict = 4,
    unreachable = 5,
    /// A change was sent, and whether it took effect could not be determined.
    outcome_unknown = 6,
};

} // namespace gooseberryfall::cli
