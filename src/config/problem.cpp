#include "config/problem.hpp"

#include <algorithm>

namespace gooseberryfall::config {

std::string to_text(const problem& fault)
{
    std::string text;
    if (!fault.file.empty()) {
        text += fault.file + (fault.line > 0 ? ":" + std::to_string(fault.line) : "") + ": ";
    }
    if (!fault.key.empty()) {
        text += fault.key + ": ";
    }
    return text + fault.text;
}

std::string to_text(const problem_list& faults)
{
    std::string text;
    for (const problem& fault : faults) {
        text += to_text(fault) + "\n";
    }
    return text;
}

void sort_by_line(problem_list& faults)
{
    std::stable_sort(faults.begin(), faults.end(),
                     [](const problem& a, const problem& b) { return a.line < b.line; });
}

} // namespace gooseberryfall::config
