#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberryfall::config {

/// An error in a file or a JSON document.
struct problem {
    /// Name of the file; empty for JSON.
    std::string file;
    /// Line in the file, counted from 1; 0 for JSON, or if no line is known.
    std::uint32_t line = 0;
    /// Key or path, for example `currency.bound` or `upserts[3].team.rate`; may be empty.
    std::string key;
    /// What is wrong, and what is allowed.
    std::string text;

    bool operator==(const problem&) const = default;
};

using problem_list = std::vector<problem>;

/// A value, or all problems of the input that it was to be read from.
template <class Value>
using checked = tl::expected<Value, problem_list>;

/// Formats a problem as `file:line: key: text`, without the parts that are not set. Thread-safe.
std::string to_text(const problem& value);

/// Formats each problem on a line of its own. Thread-safe.
std::string to_text(const problem_list& problems);

/// Sorts problems by line; the sort is stable. Thread-safe.
void sort_by_line(problem_list& problems);

} // namespace gooseberryfall::config
