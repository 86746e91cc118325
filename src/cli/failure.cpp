#include "cli/failure.hpp"

#include "cli/text_table.hpp"

#include <utility>

namespace gooseberryfall::cli {

tl::unexpected<failure> make_failure(exit_code code, std::string message, std::string next_step)
{
    return tl::unexpected(failure{code, std::move(message), std::move(next_step)});
}

std::string to_text(const failure& reason)
{
    // Lists of problems end with a newline, single sentences do not; the output has exactly one.
    const std::size_t size = reason.message.find_last_not_of('\n') + 1;
    std::string text = "error: " + sanitize_lines(reason.message.substr(0, size)) + "\n";
    if (!reason.next_step.empty()) {
        text += "next: " + sanitize_lines(reason.next_step) + "\n";
    }
    return text;
}

} // namespace gooseberryfall::cli
