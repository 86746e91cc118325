#include "config/units.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <span>

namespace gooseberryfall::config {

namespace {

struct unit {
    const char* name;
    std::uint64_t factor;
};

/// Units with their lengths in nanoseconds, in ascending order.
constexpr std::array<unit, 5> duration_units{{{"us", 1'000},
                                              {"ms", 1'000'000},
                                              {"s", 1'000'000'000},
                                              {"min", 60'000'000'000},
                                              {"h", 3'600'000'000'000}}};

/// Units with their sizes in bytes, in ascending order.
constexpr std::array<unit, 4> size_units{
    {{"B", 1}, {"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"GiB", 1U << 30U}}};

std::optional<std::uint64_t> parse_quantity(const std::string& text, std::span<const unit> units)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{}) {
        return std::nullopt;
    }
    const bool has_space = parsed_end != end && *parsed_end == ' ';
    const std::string name(has_space ? parsed_end + 1 : parsed_end, end);
    for (const unit& candidate : units) {
        if (name == candidate.name) {
            constexpr auto limit =
                static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
            const bool is_representable = number <= limit / candidate.factor;
            return is_representable ? std::optional(number * candidate.factor) : std::nullopt;
        }
    }
    return std::nullopt;
}

std::string format_quantity(std::uint64_t value, std::span<const unit> units)
{
    const unit* largest = units.data();
    for (const unit& candidate : units) {
        if (value != 0 && value % candidate.factor == 0) {
            largest = &candidate;
        }
    }
    return std::to_string(value / largest->factor) + " " + largest->name;
}

} // namespace

std::optional<std::chrono::nanoseconds> parse_duration(const std::string& text)
{
    const auto value = parse_quantity(text, duration_units);
    if (!value) {
        return std::nullopt;
    }
    return std::chrono::nanoseconds(static_cast<std::int64_t>(*value));
}

std::string format_duration(std::chrono::nanoseconds value)
{
    const bool negative = value < std::chrono::nanoseconds::zero();
    const auto amount = static_cast<std::uint64_t>(negative ? -value.count() : value.count());
    return (negative ? "-" : "") + format_quantity(amount, duration_units);
}

std::optional<std::uint64_t> parse_size(const std::string& text)
{
    return parse_quantity(text, size_units);
}

std::string format_size(std::uint64_t bytes)
{
    return format_quantity(bytes, size_units);
}

std::string format_number(double value)
{
    std::array<char, 352> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.3f", value);
    std::string text = buffer.data();
    if (text.find('.') == std::string::npos) {
        return text;
    }
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

} // namespace gooseberryfall::config
