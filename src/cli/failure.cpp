#include "cli/failure.hpp"

#include "cli/text_table.hpp"

#include <utility>

namespace gooseberryfall::cli {

tl::unexpected<failure> fail(exit_code code, std::string message, std::string next_step)
{
    return tl::unexpected(failure{code, std::move(message), std::move(next_step)});
}

std::string to_text(const failure& reason)
{
    std::string text = "error: " + printable_lines(reason.message) + "\n";
    if (!reason.next_step.empty()) {
        text += "next: " + printable_lines(reason.next_step) + "\n";
    }
    return text;
}

} // namespace gooseberryfall::cli
