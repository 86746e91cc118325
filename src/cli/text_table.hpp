#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::cli {

/// Replaces control characters by `?`, so that untrusted text cannot send escape sequences to the
/// terminal. Thread-safe.
std::string sanitize(std::string_view text);

/// As `sanitize`, but keeps line ends. Thread-safe.
std::string sanitize_lines(std::string_view text);

/// Table with left-aligned columns, two spaces apart. Not thread-safe.
class text_table {
public:
    /// An empty `headings` gives a table without a heading row.
    explicit text_table(std::vector<std::string> headings = {});

    /// Adds a row. Cells are sanitized; an empty cell is shown as `-`.
    void add_row(std::vector<std::string> cells);

    /// One line per row, without trailing spaces.
    std::string format() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace gooseberryfall::cli
