#include "config/field_values.hpp"

#include "config/endpoint.hpp"
#include "config/units.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace gooseberryfall::config {

namespace {

constexpr std::size_t name_limit = 64;
constexpr std::size_t author_limit = 100;
constexpr std::size_t note_limit = 1000;
constexpr std::size_t path_limit = 200;

bool is_alphanumeric(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

bool is_name(const std::string& text)
{
    const bool sized = !text.empty() && text.size() <= name_limit;
    return sized && is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char character) {
               return is_alphanumeric(character) ||
                      std::string_view("-_.:").find(character) != std::string_view::npos;
           });
}

bool is_name_or_empty(const std::string& text)
{
    return text.empty() || is_name(text);
}

bool is_author(const std::string& text)
{
    const bool sized = !text.empty() && text.size() <= author_limit;
    return sized && std::none_of(text.begin(), text.end(), [](unsigned char character) {
               return character < ' ' || character == 0x7f;
           });
}

bool is_note(const std::string& text)
{
    return text.size() <= note_limit;
}

bool is_file(const std::string& text)
{
    return text.size() <= note_limit && text.find('\0') == std::string::npos;
}

bool is_prefix(const std::string& text)
{
    if (text.empty()) {
        return true;
    }
    const bool framed = text.front() == '/' && text.back() == '/' && text.size() <= path_limit;
    const bool plain = std::all_of(text.begin(), text.end(), [](char character) {
        return is_alphanumeric(character) ||
               std::string_view("/-_.~").find(character) != std::string_view::npos;
    });
    const bool normal = text.find("//") == std::string::npos &&
                        text.find("/./") == std::string::npos &&
                        text.find("/../") == std::string::npos;
    return framed && plain && normal;
}

} // namespace

const text_form name_form{
    "a name of 1 to 64 letters, digits or -_.: that begins with a letter or digit", is_name};
const text_form optional_name_form{
    "empty or a name of 1 to 64 letters, digits or -_.: that begins with a letter or digit",
    is_name_or_empty};
const text_form author_form{"a text of 1 to 100 bytes without control characters", is_author};
const text_form note_form{"a text of at most 1000 bytes", is_note};
const text_form any_form{"a text", [](const std::string&) { return true; }};
const text_form file_form{"the path of a file", is_file};
const text_form prefix_form{"a path such as \"/studio/\" that begins and ends with /, of at most "
                            "200 letters, digits or -_.~/ and without empty, . or .. parts",
                            is_prefix};
const text_form ip_form{"a numeric IP address", is_ip_address};

std::optional<double> number_in(const raw_value& value, double low, double high)
{
    double number = 0;
    if (const auto* whole = std::get_if<std::int64_t>(&value)) {
        number = static_cast<double>(*whole);
    }
    else if (const auto* real = std::get_if<double>(&value)) {
        number = *real;
    }
    else {
        return std::nullopt;
    }
    // Written so that NaN is refused.
    if (!(number >= low && number <= high)) {
        return std::nullopt;
    }
    const double scaled = std::round(number * 1000);
    const bool exact = std::abs(number * 1000 - scaled) < 1e-5;
    return exact ? std::optional(scaled / 1000) : std::nullopt;
}

std::optional<std::int64_t> count_in(const raw_value& value, std::int64_t low, std::int64_t high)
{
    const auto* number = std::get_if<std::int64_t>(&value);
    const bool allowed = number != nullptr && *number >= low && *number <= high;
    return allowed ? std::optional(*number) : std::nullopt;
}

std::optional<std::chrono::nanoseconds>
duration_in(const raw_value& value, std::chrono::nanoseconds low, std::chrono::nanoseconds high)
{
    const auto* text = std::get_if<std::string>(&value);
    const auto length = text != nullptr ? parse_duration(*text) : std::nullopt;
    const bool allowed = length && *length >= low && *length <= high;
    return allowed ? length : std::nullopt;
}

std::optional<std::uint64_t> size_in(const raw_value& value, std::uint64_t low, std::uint64_t high)
{
    const auto* text = std::get_if<std::string>(&value);
    const auto bytes = text != nullptr ? parse_size(*text) : std::nullopt;
    const bool allowed = bytes && *bytes >= low && *bytes <= high;
    return allowed ? bytes : std::nullopt;
}

std::string allowed_number(double low, double high)
{
    return "a number from " + format_number(low) + " to " + format_number(high) +
           " with at most three decimals";
}

std::string allowed_count(std::int64_t low, std::int64_t high)
{
    return "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
}

std::string allowed_duration(std::chrono::nanoseconds low, std::chrono::nanoseconds high)
{
    return "a duration from \"" + format_duration(low) + "\" to \"" + format_duration(high) +
           "\" in whole us, ms, s, min or h";
}

std::string allowed_size(std::uint64_t low, std::uint64_t high)
{
    return "a size from \"" + format_size(low) + "\" to \"" + format_size(high) +
           "\" in whole B, KiB, MiB or GiB";
}

} // namespace gooseberryfall::config
