#pragma once

#include "config/raw_value.hpp"

#include "core/types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberryfall::config {

// Checks of single values, and the sentences that say what is allowed.

/// What a text has to look like.
struct text_form {
    const char* allowed = "";
    bool (*accepts)(const std::string&) = nullptr;
};

/// Name of an instance, team, service and so on.
extern const text_form name_form;

/// A name, or nothing.
extern const text_form optional_name_form;

/// Who makes a change.
extern const text_form author_form;

/// Text for people, of at most 1000 bytes.
extern const text_form note_form;

/// Any text.
extern const text_form any_form;

/// Path of a file, or nothing.
extern const text_form file_form;

/// Path prefix of a plain service, or nothing.
extern const text_form prefix_form;

/// Numeric IP address without a port.
extern const text_form ip_form;

/// Number from `low` to `high` with at most three decimals. Text forms of numbers then give the
/// same value everywhere, so that a fleet read back compares equal.
std::optional<double> number_in(const raw_value& value, double low, double high);

/// Whole number from `low` to `high`.
std::optional<std::int64_t> count_in(const raw_value& value, std::int64_t low, std::int64_t high);

/// Duration with a unit, from `low` to `high`.
std::optional<std::chrono::nanoseconds>
duration_in(const raw_value& value, std::chrono::nanoseconds low, std::chrono::nanoseconds high);

/// Size with a unit, from `low` to `high`.
std::optional<std::uint64_t> size_in(const raw_value& value, std::uint64_t low, std::uint64_t high);

std::string allowed_number(double low, double high);
std::string allowed_count(std::int64_t low, std::int64_t high);
std::string allowed_duration(std::chrono::nanoseconds low, std::chrono::nanoseconds high);
std::string allowed_size(std::uint64_t low, std::uint64_t high);

} // namespace gooseberryfall::config
