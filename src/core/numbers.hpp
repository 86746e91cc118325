#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace gooseberryfall::core {

/// Parses the whole text as a number. Returns nothing if the text is not a number, has trailing
/// characters or is out of range. Thread-safe.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number{};
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || parsed_end != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace gooseberryfall::core
