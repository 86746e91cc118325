#pragma once

#include "core/types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberryfall::config {

/// SHA-256 of the bytes of the text. Thread-safe.
core::digest sha256(std::string_view text);

/// Digest as 64 lower-case hexadecimal digits. Thread-safe.
std::string to_hex(const core::digest& value);

/// Parses 64 hexadecimal digits of either case; nothing if the text is anything else. Thread-safe.
std::optional<core::digest> from_hex(std::string_view text);

/// Compares two digests in constant time, so that the duration does not reveal where they differ.
/// Thread-safe.
bool same_digest(const core::digest& left, const core::digest& right);

} // namespace gooseberryfall::config
