#pragma once

namespace gooseberryfall::cli {

/// Exit status of the program; documented in docs/COMMAND.md.
enum class exit_code {
    done = 0,
    /// The system, or the state that it is in, does not allow it.
    refused = 1,
    wrong_usage = 2,
    /// A file has errors, or cannot be read.
    bad_file = 3,
    /// Another change came first.
    conflict = 4,
    unreachable = 5,
    /// A change was sent and its fate could not be found out.
    outcome_unknown = 6,
};

} // namespace gooseberryfall::cli
