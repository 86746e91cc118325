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
    // Lists of problems end with a line end, single sentences do not.
    const std::size_t size = reason.message.find_last_not_of('\n') + 1;
    std::string text = "error: " + printable_lines(reason.message.substr(0, size)) + "\n";
    if (!reason.next_step.empty()) {
        text += "next: " + printable_lines(reason.next_step) + "\n";
    }
    return text;
}

} // namespace gooseberryfall::cli
