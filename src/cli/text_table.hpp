#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::cli {

/// Text with control characters replaced by `?`, so that text of others cannot steer the terminal.
/// Thread-safe.
std::string printable(std::string_view text);

/// The same, but keeps line ends. Thread-safe.
std::string printable_lines(std::string_view text);

/// Columns aligned to the left and two spaces apart. Not thread-safe.
class text_table {
public:
    /// Without headings the table has only rows.
    explicit text_table(std::vector<std::string> headings = {});

    /// Adds a row; an empty cell is shown as `-`.
    void add(std::vector<std::string> cells);

    /// One line for each row, without spaces at its end.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace gooseberryfall::cli
