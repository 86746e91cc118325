#pragma once

#include "cli/exit_code.hpp"

#include <tl/expected.hpp>

#include <string>

namespace gooseberryfall::cli {

/// Reason why a command failed.
struct failure {
    exit_code code = exit_code::rejected;
    /// Description of the error; may have several lines.
    std::string message;
    /// Advice to the operator; may be empty.
    std::string next_step;
};

/// A value, or the reason why there is none.
template <class Value>
using result = tl::expected<Value, failure>;

/// Failure as an error value. Thread-safe.
tl::unexpected<failure> make_failure(exit_code code, std::string message, std::string next_step);

/// Message and advice as labelled lines for standard error. Thread-safe.
std::string to_text(const failure& reason);

} // namespace gooseberryfall::cli
