#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberryfall::config {

/// A fault in a file or a JSON document.
struct problem {
    /// Name of the file; empty for JSON.
    std::string file;
    /// Line in the file, from 1 on; 0 for JSON.
    std::uint32_t line = 0;
    /// Key or path, for example `currency.bound` or `upserts[3].team.rate`; may be empty.
    std::string key;
    /// What is wrong and what is allowed.
    std::string text;

    bool operator==(const problem&) const = default;
};

using problem_list = std::vector<problem>;

/// A value, or every problem of its source.
template <class Value>
using checked = tl::expected<Value, problem_list>;

/// `file:line: key: text`, without the parts that are not set. Thread-safe.
std::string to_text(const problem& fault);

/// One line for each problem. Thread-safe.
std::string to_text(const problem_list& faults);

/// Orders problems by line; those of one line keep their order. Thread-safe.
void sort_by_line(problem_list& faults);

} // namespace gooseberryfall::config
