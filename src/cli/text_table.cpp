#include "cli/text_table.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::cli {

namespace {

constexpr std::size_t column_gap = 2;

bool is_control_character(char character)
{
    const auto octet = static_cast<unsigned char>(character);
    return octet < ' ' || octet == 0x7f;
}

/// Number of characters in a UTF-8 text: all octets but the continuation octets.
std::size_t display_width(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char character) {
        return (static_cast<unsigned char>(character) & 0xc0U) != 0x80U;
    }));
}

std::vector<std::size_t> column_widths(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], display_width(row[column]));
        }
    }
    return widths;
}

} // namespace

std::string sanitize(std::string_view text)
{
    std::string sanitized(text);
    std::replace_if(sanitized.begin(), sanitized.end(), is_control_character, '?');
    return sanitized;
}

std::string sanitize_lines(std::string_view text)
{
    std::string sanitized(text);
    std::replace_if(
        sanitized.begin(), sanitized.end(),
        [](char character) { return character != '\n' && is_control_character(character); }, '?');
    return sanitized;
}

text_table::text_table(std::vector<std::string> headings)
{
    if (!headings.empty()) {
        add_row(std::move(headings));
    }
}

void text_table::add_row(std::vector<std::string> cells)
{
    for (std::string& cell : cells) {
        cell = cell.empty() ? "-" : sanitize(cell);
    }
    rows_.push_back(std::move(cells));
}

std::string text_table::format() const
{
    const std::vector<std::size_t> widths = column_widths(rows_);
    std::string text;
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - display_width(row[column]) + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace gooseberryfall::cli
