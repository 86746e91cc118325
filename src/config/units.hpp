#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace gooseberryfall::config {

/// Parses a whole number with a unit (us, ms, s, min, h), for example `250 ms`. Nothing if the text
/// is anything else or the duration exceeds the range of nanoseconds. Thread-safe.
std::optional<std::chrono::nanoseconds> parse_duration(const std::string& text);

/// Formats a duration in the largest unit that gives a whole number; a remainder below 1 us is
/// truncated. Thread-safe.
std::string format_duration(std::chrono::nanoseconds value);

/// Parses a whole number with a unit (B, KiB, MiB, GiB), for example `256 KiB`, and returns bytes.
/// Nothing if the text is anything else or the size exceeds 2^63 - 1. Thread-safe.
std::optional<std::uint64_t> parse_size(const std::string& text);

/// Formats a size in the largest unit that gives a whole number. Thread-safe.
std::string format_size(std::uint64_t bytes);

/// Formats a number with at most three decimals. Thread-safe.
std::string format_number(double value);

} // namespace gooseberryfall::config
