#include "core/event_scanner.hpp"

namespace gooseberryfall::core {

std::optional<std::size_t> event_scanner::read_event_end(std::string_view bytes)
{
    std::size_t line_begin = 0;
    for (std::size_t line_end = bytes.find('\n'); line_end != std::string_view::npos;
         line_end = bytes.find('\n', line_begin)) {
        append_to_line(bytes.substr(line_begin, line_end - line_begin));
        const bool is_empty = line_ != line_content::text;
        line_ = line_content::nothing;
        line_begin = line_end + 1;
        if (is_empty) {
            incomplete_bytes_ = 0;
            has_event_ = true;
            return line_begin;
        }
    }
    append_to_line(bytes.substr(line_begin));
    incomplete_bytes_ += bytes.size();
    return std::nullopt;
}

void event_scanner::append_to_line(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    const bool is_carriage_return = line_ == line_content::nothing && bytes == "\r";
    line_ = is_carriage_return ? line_content::carriage_return : line_content::text;
}

} // namespace gooseberryfall::core
