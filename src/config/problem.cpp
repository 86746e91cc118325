#include "config/problem.hpp"

#include <algorithm>

namespace gooseberryfall::config {

std::string to_text(const problem& value)
{
    std::string text;
    if (!value.file.empty()) {
        text += value.file + (value.line > 0 ? ":" + std::to_string(value.line) : "") + ": ";
    }
    if (!value.key.empty()) {
        text += value.key + ": ";
    }
    return text + value.text;
}

std::string to_text(const problem_list& problems)
{
    std::string text;
    for (const problem& value : problems) {
        text += to_text(value) + "\n";
    }
    return text;
}

void sort_by_line(problem_list& problems)
{
    std::stable_sort(problems.begin(), problems.end(),
                     [](const problem& a, const problem& b) { return a.line < b.line; });
}

} // namespace gooseberryfall::config
