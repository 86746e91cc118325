#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace gooseberryfall::core {

/// Number that the whole text is, or nothing. Thread-safe.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number{};
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, number);
    if (fault != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace gooseberryfall::core
