#include "config/field_values.hpp"

#include "config/endpoint.hpp"
#include "config/units.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace gooseberryfall::config {

namespace {

constexpr std::size_t name_bytes_max = 64;
constexpr std::size_t author_bytes_max = 100;
constexpr std::size_t text_bytes_max = 1000;
constexpr std::size_t path_bytes_max = 200;

bool is_alphanumeric(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

bool is_name(const std::string& text)
{
    const bool has_valid_length = !text.empty() && text.size() <= name_bytes_max;
    return has_valid_length && is_alphanumeric(text.front()) &&
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
    const bool has_valid_length = !text.empty() && text.size() <= author_bytes_max;
    return has_valid_length && std::none_of(text.begin(), text.end(), [](unsigned char character) {
               return character < ' ' || character == 0x7f;
           });
}

bool is_comment(const std::string& text)
{
    return text.size() <= text_bytes_max;
}

bool is_file_path(const std::string& text)
{
    return text.size() <= text_bytes_max && text.find('\0') == std::string::npos;
}

bool is_path_prefix(const std::string& text)
{
    if (text.empty()) {
        return true;
    }
    const bool has_slashes =
        text.front() == '/' && text.back() == '/' && text.size() <= path_bytes_max;
    const bool has_valid_characters = std::all_of(text.begin(), text.end(), [](char character) {
        return is_alphanumeric(character) ||
               std::string_view("/-_.~").find(character) != std::string_view::npos;
    });
    const bool is_normalized = text.find("//") == std::string::npos &&
                               text.find("/./") == std::string::npos &&
                               text.find("/../") == std::string::npos;
    return has_slashes && has_valid_characters && is_normalized;
}

} // namespace

const string_rule name_rule{
    "a name of 1 to 64 letters, digits or -_.: that begins with a letter or digit", is_name};
const string_rule optional_name_rule{
    "empty or a name of 1 to 64 letters, digits or -_.: that begins with a letter or digit",
    is_name_or_empty};
const string_rule author_rule{"a text of 1 to 100 bytes without control characters", is_author};
const string_rule comment_rule{"a text of at most 1000 bytes", is_comment};
const string_rule any_string_rule{"a text", [](const std::string&) { return true; }};
const string_rule file_path_rule{"the path of a file", is_file_path};
const string_rule path_prefix_rule{
    "a path such as \"/studio/\" that begins and ends with /, of at most "
    "200 letters, digits or -_.~/ and without empty, . or .. parts",
    is_path_prefix};
const string_rule ip_address_rule{"a numeric IP address", is_ip_address};

std::optional<double> number_in_range(const raw_value& value, double lowest, double highest)
{
    double number = 0;
    if (const auto* integer = std::get_if<std::int64_t>(&value)) {
        number = static_cast<double>(*integer);
    }
    else if (const auto* floating = std::get_if<double>(&value)) {
        number = *floating;
    }
    else {
        return std::nullopt;
    }
    // The negated comparison also rejects NaN.
    if (!(number >= lowest && number <= highest)) {
        return std::nullopt;
    }
    const double scaled = std::round(number * 1000);
    const bool is_exact = std::abs(number * 1000 - scaled) < 1e-5;
    return is_exact ? std::optional(scaled / 1000) : std::nullopt;
}

std::optional<std::int64_t> count_in_range(const raw_value& value, std::int64_t lowest,
                                           std::int64_t highest)
{
    const auto* number = std::get_if<std::int64_t>(&value);
    const bool in_range = number != nullptr && *number >= lowest && *number <= highest;
    return in_range ? std::optional(*number) : std::nullopt;
}

std::optional<std::chrono::nanoseconds> duration_in_range(const raw_value& value,
                                                          std::chrono::nanoseconds lowest,
                                                          std::chrono::nanoseconds highest)
{
    const auto* text = std::get_if<std::string>(&value);
    const auto duration = text != nullptr ? parse_duration(*text) : std::nullopt;
    const bool in_range = duration && *duration >= lowest && *duration <= highest;
    return in_range ? duration : std::nullopt;
}

std::optional<std::uint64_t> size_in_range(const raw_value& value, std::uint64_t lowest,
                                           std::uint64_t highest)
{
    const auto* text = std::get_if<std::string>(&value);
    const auto bytes = text != nullptr ? parse_size(*text) : std::nullopt;
    const bool in_range = bytes && *bytes >= lowest && *bytes <= highest;
    return in_range ? bytes : std::nullopt;
}

std::string number_range_text(double lowest, double highest)
{
    return "a number from " + format_number(lowest) + " to " + format_number(highest) +
           " with at most three decimals";
}

std::string count_range_text(std::int64_t lowest, std::int64_t highest)
{
    return "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
}

std::string duration_range_text(std::chrono::nanoseconds lowest, std::chrono::nanoseconds highest)
{
    return "a duration from \"" + format_duration(lowest) + "\" to \"" + format_duration(highest) +
           "\" in whole us, ms, s, min or h";
}

std::string size_range_text(std::uint64_t lowest, std::uint64_t highest)
{
    return "a size from \"" + format_size(lowest) + "\" to \"" + format_size(highest) +
           "\" in whole B, KiB, MiB or GiB";
}

} // namespace gooseberryfall::config
