#include "cli/text_table.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::cli {

namespace {

constexpr std::size_t column_gap = 2;

bool is_control(char character)
{
    const auto octet = static_cast<unsigned char>(character);
    return octet < ' ' || octet == 0x7f;
}

/// Characters of a UTF-8 text, without the continuation octets.
std::size_t width_of(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char character) {
        return (static_cast<unsigned char>(character) & 0xc0U) != 0x80U;
    }));
}

std::vector<std::size_t> widths_of(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], width_of(row[column]));
        }
    }
    return widths;
}

} // namespace

std::string printable(std::string_view text)
{
    std::string clean(text);
    std::replace_if(clean.begin(), clean.end(), is_control, '?');
    return clean;
}

std::string printable_lines(std::string_view text)
{
    std::string clean(text);
    std::replace_if(
        clean.begin(), clean.end(),
        [](char character) { return character != '\n' && is_control(character); }, '?');
    return clean;
}

text_table::text_table(std::vector<std::string> headings)
{
    if (!headings.empty()) {
        add(std::move(headings));
    }
}

void text_table::add(std::vector<std::string> cells)
{
    for (std::string& cell : cells) {
        cell = cell.empty() ? "-" : printable(cell);
    }
    rows_.push_back(std::move(cells));
}

std::string text_table::text() const
{
    const std::vector<std::size_t> widths = widths_of(rows_);
    std::string text;
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - width_of(row[column]) + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace gooseberryfall::cli
