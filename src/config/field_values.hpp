#pragma once

#include "config/raw_value.hpp"

#include "core/types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberryfall::config {

// Validation of single values, and the texts that describe what is allowed.

/// A predicate for strings, and its description.
struct string_rule {
    /// Description of the accepted strings, as the end of the sentence "must be ...".
    const char* allowed = "";
    bool (*accepts)(const std::string&) = nullptr;
};

/// Name of an instance, a team, a service or another entity.
extern const string_rule name_rule;

/// A name, or an empty string.
extern const string_rule optional_name_rule;

/// Author of a change.
extern const string_rule author_rule;

/// Comment on a change, of at most 1000 bytes.
extern const string_rule comment_rule;

/// Accepts every string.
extern const string_rule any_string_rule;

/// Path of a file, or an empty string.
extern const string_rule file_path_rule;

/// Path prefix of a plain service, or an empty string.
extern const string_rule path_prefix_rule;

/// Numeric IP address without a port.
extern const string_rule ip_address_rule;

/// Number from `lowest` to `highest` with at most three decimals, or nothing. The restriction makes
/// a number survive a round trip through text, so that a fleet that is read back compares equal.
std::optional<double> number_in_range(const raw_value& value, double lowest, double highest);

/// Whole number from `lowest` to `highest`, or nothing.
std::optional<std::int64_t> count_in_range(const raw_value& value, std::int64_t lowest,
                                           std::int64_t highest);

/// Duration with a unit, from `lowest` to `highest`, or nothing.
std::optional<std::chrono::nanoseconds> duration_in_range(const raw_value& value,
                                                          std::chrono::nanoseconds lowest,
                                                          std::chrono::nanoseconds highest);

/// Size in bytes from a text with a unit, from `lowest` to `highest`, or nothing.
std::optional<std::uint64_t> size_in_range(const raw_value& value, std::uint64_t lowest,
                                           std::uint64_t highest);

// Descriptions of the ranges above, as the end of the sentence "must be ...".

std::string number_range_text(double lowest, double highest);
std::string count_range_text(std::int64_t lowest, std::int64_t highest);
std::string duration_range_text(std::chrono::nanoseconds lowest, std::chrono::nanoseconds highest);
std::string size_range_text(std::uint64_t lowest, std::uint64_t highest);

} // namespace gooseberryfall::config
