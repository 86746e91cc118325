#pragma once

#include "core/types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberryfall::config {

/// SHA-256 of the text. Thread-safe.
core::digest sha256(std::string_view text);

/// Digest as 64 lower-case hexadecimal digits. Thread-safe.
std::string to_hex(const core::digest& value);

/// Digest from 64 hexadecimal digits of either case, or nothing. Thread-safe.
std::optional<core::digest> from_hex(std::string_view text);

/// Whether two digests are the same, in a time that does not depend on where they differ.
/// Thread-safe.
bool same_digest(const core::digest& left, const core::digest& right);

} // namespace gooseberryfall::config
