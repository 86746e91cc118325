#pragma once

#include "cli/exit_code.hpp"

#include <tl/expected.hpp>

#include <string>

namespace gooseberryfall::cli {

/// Why a command did not succeed.
struct failure {
    exit_code code = exit_code::refused;
    /// What went wrong; may have several lines.
    std::string message;
    /// What the operator can do next.
    std::string next_step;
};

/// A value, or why there is none.
template <class Value>
using result = tl::expected<Value, failure>;

/// Failure as an error value. Thread-safe.
tl::unexpected<failure> fail(exit_code code, std::string message, std::string next_step);

/// Lines for standard error, each part with a label. Thread-safe.
std::string to_text(const failure& reason);

} // namespace gooseberryfall::cli
