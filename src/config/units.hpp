#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace gooseberryfall::config {

/// Duration from a whole number and a unit (us, ms, s, min, h), for example `250 ms`, or nothing.
/// Thread-safe.
std::optional<std::chrono::nanoseconds> parse_duration(const std::string& text);

/// Text of a duration in the largest unit that gives a whole number; below 1 us it is cut off.
/// Thread-safe.
std::string format_duration(std::chrono::nanoseconds value);

/// Size in bytes from a whole number and a unit (B, KiB, MiB, GiB), for example `256 KiB`, or
/// nothing. Thread-safe.
std::optional<std::uint64_t> parse_size(const std::string& text);

/// Text of a size in the largest unit that gives a whole number. Thread-safe.
std::string format_size(std::uint64_t bytes);

/// Text of a number with at most three decimals. Thread-safe.
std::string format_number(double value);

} // namespace gooseberryfall::config
